#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/eventstream.h"
#include "snipeferry/gateway/rendezvous.h"
#include "snipeferry/gateway/repeatbudget.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>

using namespace snipeferry;

namespace {

gateway::BackendServer engine(const std::string &name)
{
    gateway::BackendServer server;
    server.id = core::BackendServerId(name);
    server.service = core::ServiceId("assistant");
    server.slots = 64;
    return server;
}

gateway::Service engineService()
{
    gateway::Service service;
    service.id = core::ServiceId("assistant");
    service.isModelEngine = true;
    service.coldTime = absl::Seconds(3);
    service.coldRate = 2;
    return service;
}

gateway::ServerQuery promptQuery(const std::string &subject)
{
    gateway::ServerQuery query;
    query.service = core::ServiceId("assistant");
    query.promptParts = {{"system", 500}, {subject, 4900}, {"own", 6600}};
    query.promptTokens = 12'000;
    return query;
}

} // namespace

TEST_CASE("repeats of all instances together stay within the budget")
{
    core::VirtualTimerService timers;
    const gateway::RepeatBudgetSettings settings{0.2, 56, absl::Seconds(10)};
    std::vector<gateway::RepeatBudget> budgets(8, gateway::RepeatBudget(settings, timers));
    const core::ServiceId service("booking");
    int requests = 0;
    int repeats = 0;
    for (gateway::RepeatBudget &budget : budgets) {
        budget.setInstanceCount(8);
        for (int request = 0; request < 50; ++request) {
            budget.noteRequest(service);
            ++requests;
        }
        for (int attempt = 0; attempt < 500; ++attempt) {
            repeats += budget.tryTake(service) ? 1 : 0;
        }
    }
    CHECK(repeats <= 0.2 * requests + 56);
    CHECK(repeats > 0.1 * requests);
}

TEST_CASE("requests that share a prompt part go to the same backend server from every instance")
{
    // Prompts about 83 subjects, each requested every few seconds at any of three instances.
    core::VirtualTimerService timers;
    std::map<std::string, core::BackendServerId> serverOfPart;
    for (const char *instance : {"gw-1", "gw-2", "gw-3"}) {
        gateway::BackendTable table(core::InstanceId(instance), timers);
        table.configure({engineService()});
        for (int index = 0; index < 6; ++index) {
            table.announce(engine(absl::StrCat("s", index)));
        }
        for (int subject = 0; subject < 83; ++subject) {
            const std::string part = absl::StrCat("subject-", subject);
            const core::Expected<gateway::ServerChoice> choice = table.choose(promptQuery(part));
            REQUIRE(choice);
            const auto entry = serverOfPart.emplace(part, choice->server).first;
            CHECK(entry->second == choice->server);
        }
    }
}

TEST_CASE("a request leaves the backend server that keeps its prompt part only if the queue there costs more than reading it again")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    table.announce(engine("s1"));
    table.announce(engine("s2"));
    const core::BackendServerId first = table.choose(promptQuery("venue"))->server;
    table.started(first, 0, 12'000, promptQuery("venue").promptParts);
    CHECK(table.choose(promptQuery("venue"))->server == first);
    table.started(first, 0, 60'000, {});
    CHECK(table.choose(promptQuery("venue"))->server != first);
}

TEST_CASE("prompt parts that another instance reported are taken into account")
{
    core::VirtualTimerService timers;
    gateway::BackendTable ownTable(core::InstanceId("gw-1"), timers);
    gateway::BackendTable peerTable(core::InstanceId("gw-2"), timers);
    for (gateway::BackendTable *table : {&ownTable, &peerTable}) {
        table->configure({engineService()});
        table->announce(engine("s1"));
        table->announce(engine("s2"));
    }
    const core::BackendServerId other
        = ownTable.choose(promptQuery("venue"))->server == core::BackendServerId("s1") ? core::BackendServerId("s2") : core::BackendServerId("s1");
    peerTable.started(other, 0, 0, promptQuery("venue").promptParts);
    ownTable.promptCache().notePeerReports(peerTable.promptCache().takeUnreported(true));
    CHECK(ownTable.choose(promptQuery("venue"))->server == other);
    CHECK(peerTable.promptCache().takeUnreported(true).empty());
}

TEST_CASE("only one instance of the region sends requests to a cold backend server, at the cold rate")
{
    core::VirtualTimerService timers;
    const std::vector<core::InstanceId> instances{core::InstanceId("gw-1"), core::InstanceId("gw-2"), core::InstanceId("gw-3")};
    int started = 0;
    for (const core::InstanceId &instance : instances) {
        gateway::BackendTable table(instance, timers);
        table.configure({engineService()});
        table.coldPacing().setMembers(instances);
        timers.advance(absl::Seconds(8));
        table.coldPacing().confirmMembers(timers.now());
        gateway::BackendServer cold = engine("s1");
        cold.coldLeft = absl::Seconds(3);
        table.announce(cold);
        for (int request = 0; request < 50; ++request) {
            const core::Expected<gateway::ServerChoice> choice = table.choose(promptQuery("venue"));
            if (choice) {
                table.started(choice->server, 0, 0, {});
                ++started;
            }
        }
    }
    CHECK(started == 1);
}

TEST_CASE("a service whose calls often fail does not look overloaded")
{
    // 14 of 100 calls fail at every backend server, so that no single one is the cause.
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    gateway::Service plain;
    plain.id = core::ServiceId("booking");
    table.configure({plain});
    gateway::BackendServer server = engine("b1");
    server.service = plain.id;
    server.slots = 6;
    table.announce(server);
    gateway::ServerQuery query;
    query.service = plain.id;
    for (int call = 0; call < 500; ++call) {
        table.started(server.id, 0, 0, {});
        table.answered(server.id, 0, 0, absl::Milliseconds(30));
        table.finished(server.id, 0, 0, call % 7 == 0 ? gateway::RunEnd::ServerError : gateway::RunEnd::Success, absl::Milliseconds(20));
        CHECK(table.choose(query)->estimate < absl::Milliseconds(150));
    }
}

TEST_CASE("an unreachable backend server is avoided, and used again if it is the only one")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    table.announce(engine("s1"));
    table.announce(engine("s2"));
    for (int failure = 0; failure < 2; ++failure) {
        table.started(core::BackendServerId("s1"), 0, 0, {});
        table.finished(core::BackendServerId("s1"), 0, 0, gateway::RunEnd::Unreachable, absl::Milliseconds(20));
    }
    for (int subject = 0; subject < 20; ++subject) {
        CHECK(table.choose(promptQuery(absl::StrCat(subject)))->server == core::BackendServerId("s2"));
    }
    table.remove(core::BackendServerId("s2"));
    CHECK(table.choose(promptQuery("venue"))->server == core::BackendServerId("s1"));
}

TEST_CASE("event streams are cut into whole events however their bytes arrive")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        gateway::EventStream stream;
        std::string passed = stream.feed(text.substr(0, cut));
        passed += stream.feed(text.substr(cut));
        CHECK(passed == text);
        CHECK(stream.lastEventId() == "3");
        CHECK(stream.eventCount() == 3);
    }
}

TEST_CASE("many instances with outdated load reports do not all choose the same backend server")
{
    // 24 instances share 64 backend servers, and one of these looks idle to all instances for half a second.
    core::VirtualTimerService timers;
    std::map<core::BackendServerId, int> chosen;
    for (int instance = 0; instance < 24; ++instance) {
        gateway::BackendTable table(core::InstanceId(absl::StrCat("gw-", instance)), timers);
        table.configure({engineService()});
        for (int index = 0; index < 64; ++index) {
            table.announce(engine(absl::StrCat("s", index)));
            if (index > 0) {
                table.started(core::BackendServerId(absl::StrCat("s", index)), 0, 20'000, {});
            }
        }
        for (int request = 0; request < 10; ++request) {
            const core::Expected<gateway::ServerChoice> choice = table.choose(promptQuery(absl::StrCat(instance, "-", request)));
            REQUIRE(choice);
            table.started(choice->server, 0, 12'000, {});
            ++chosen[choice->server];
        }
    }
    CHECK(chosen[core::BackendServerId("s0")] < 60);
    CHECK(chosen.size() > 40);
}

TEST_CASE("a backend server that fails part of its requests gets few requests while others are healthy")
{
    // One of six engines immediately fails 45 of 100 requests, passes its health checks, and keeps part of the shared prompts.
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    for (int index = 0; index < 6; ++index) {
        table.announce(engine(absl::StrCat("s", index)));
    }
    const core::BackendServerId failing("s0");
    int sentToFailing = 0;
    for (int request = 0; request < 1200; ++request) {
        timers.advance(absl::Milliseconds(20));
        const gateway::ServerQuery query = promptQuery(absl::StrCat("subject-", request % 83));
        const gateway::ServerChoice choice = *table.choose(query);
        table.started(choice.server, 0, choice.unreadTokens, query.promptParts);
        table.answered(choice.server, 0, choice.unreadTokens, absl::Milliseconds(250));
        const bool hasFailed = choice.server == failing && request % 9 < 4;
        table.finished(choice.server, 0, 0, hasFailed ? gateway::RunEnd::ServerError : gateway::RunEnd::Success, absl::Milliseconds(20));
        sentToFailing += choice.server == failing ? 1 : 0;
    }
    CHECK(sentToFailing < 60);
}

// Load: long prompts that may wait beside many short questions on engines with few slots. An engine reads prompts in chunks between the tokens of its
// streams, so a question that joins a long prompt gets its events late although it is more urgent.
TEST_CASE("urgent questions avoid an engine that reads a long prompt, while others are free")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    for (int index = 0; index < 6; ++index) {
        table.announce(engine(absl::StrCat("s", index)));
    }
    const core::BackendServerId reading("s3");
    table.started(reading, 1, 50'000, {});
    for (int question = 0; question < 60; ++question) {
        gateway::ServerQuery query = promptQuery(absl::StrCat("subject-", question));
        query.priority = 0;
        query.promptTokens = 350;
        query.promptParts.clear();
        const gateway::ServerChoice choice = *table.choose(query);
        CHECK(choice.server != reading);
        // Its own first event is not late for that, so nothing is refused or sent away.
        CHECK(choice.wait < absl::Milliseconds(100));
    }
}

TEST_CASE("a long prompt goes where it slows the fewest streams")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    for (int index = 0; index < 6; ++index) {
        table.announce(engine(absl::StrCat("s", index)));
        for (int run = 0; run < (index == 2 ? 0 : 14); ++run) {
            table.started(core::BackendServerId(absl::StrCat("s", index)), 0, 0, {});
        }
    }
    gateway::ServerQuery query = promptQuery("review");
    query.priority = 1;
    query.promptTokens = 40'000;
    query.promptParts.clear();
    CHECK(table.choose(query)->server == core::BackendServerId("s2"));
}

TEST_CASE("a run that waits for a slot of an engine waits as long as its runs take")
{
    core::VirtualTimerService timers;
    gateway::BackendTable table(core::InstanceId("gw-1"), timers);
    table.configure({engineService()});
    gateway::BackendServer full = engine("s1");
    full.slots = 4;
    table.announce(full);
    for (int run = 0; run < 400; ++run) {
        table.started(full.id, 0, 0, {});
        table.answered(full.id, 0, 0, absl::Milliseconds(20));
        table.finished(full.id, 0, 0, gateway::RunEnd::Success, absl::Milliseconds(800));
    }
    for (int run = 0; run < 8; ++run) {
        table.started(full.id, 0, 0, {});
    }
    gateway::ServerQuery query = promptQuery("question");
    query.priority = 0;
    query.promptTokens = 0;
    query.promptParts.clear();
    // Five runs have to end before the next one starts, and four end in 800 ms.
    CHECK(table.choose(query)->wait > absl::Milliseconds(400));
}
