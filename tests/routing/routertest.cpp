#include "snipeferry/routing/router.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace snipeferry;

namespace {

const core::ServiceId chat("chat");
const core::VersionId firstVersion("v1");
const core::RegionId ownRegion("home");
const core::RegionId otherRegion("away");

configuration::Configuration twoRegions(std::int64_t bitsPerSecond = 1'000'000'000)
{
    configuration::Configuration configuration;
    configuration.regions = {{ownRegion, {{core::DataCentreId("home-1"), 1}}}, {otherRegion, {{core::DataCentreId("away-1"), 1}}}};
    configuration.links = {{ownRegion, otherRegion, bitsPerSecond, absl::Milliseconds(55)}};
    return configuration;
}

platform::BackendServer server(const std::string &id, int slots = 4, const core::VersionId &version = firstVersion)
{
    return {core::BackendServerId(id), core::DataCentreId("home-1"), chat, version, "127.0.0.1:1", slots, false, false, false};
}

membership::Member remoteMember(const std::string &id, int slots, int busy)
{
    membership::Member member;
    member.description.id = core::InstanceId(id);
    member.description.dataCentre = core::DataCentreId("away-1");
    member.isUsable = true;
    member.isLinked = true;
    member.loads = {{chat, firstVersion, slots, busy, 0}};
    return member;
}

routing::RouteQuery query(const std::string &id, std::vector<core::RegionId> allowed = {ownRegion, otherRegion})
{
    routing::RouteQuery query;
    query.request = core::RequestId(id);
    query.service = chat;
    query.version = firstVersion;
    query.allowedRegions = std::move(allowed);
    query.tokenBound = 1200;
    query.promptTokens = 1000;
    query.bodyBytes = 4000;
    return query;
}

struct Fixture
{
    core::VirtualTimerService timers;
    routing::Router router{core::DataCentreId("home-1"), 1, timers};

    explicit Fixture(std::int64_t bitsPerSecond = 1'000'000'000)
    {
        router.configure(twoRegions(bitsPerSecond));
    }

    std::string chooseServer(const routing::RouteQuery &query)
    {
        const core::Expected<routing::RouteChoice> choice = router.choose(query);
        return choice ? choice->backendServer.value() : core::errorAnswer(choice.error().kind).name;
    }

    /** Chooses a destination and starts the request there; returns the backend server, the instance or the error kind. */
    std::string chooseAndStart(const routing::RouteQuery &query)
    {
        const core::Expected<routing::RouteChoice> choice = router.choose(query);
        if (!choice) {
            return core::errorAnswer(choice.error().kind).name;
        }
        router.started(query, *choice);
        return choice->isLocal() ? choice->backendServer.value() : choice->instance.value();
    }
};

} // namespace

TEST_CASE("a request runs in its own region while a slot is free there and in another region otherwise")
{
    Fixture fixture;
    fixture.router.setDirectory({server("a", 1)});
    fixture.router.setMembers({remoteMember("far", 2, 0)});
    CHECK(fixture.chooseAndStart(query("1")) == "a");
    CHECK(fixture.chooseAndStart(query("2")) == "far");
    CHECK(fixture.chooseAndStart(query("3")) == "far");
    CHECK(fixture.chooseAndStart(query("4")) == "overloaded");
    fixture.router.finished(core::RequestId("1"), false);
    CHECK(fixture.chooseAndStart(query("5")) == "a");
}

TEST_CASE("residency, version, leaving and excluded servers are respected")
{
    Fixture fixture;
    platform::BackendServer leaving = server("leaving");
    leaving.isLeaving = true;
    fixture.router.setDirectory({server("old", 4, core::VersionId("v0")), leaving, server("a")});
    CHECK(fixture.chooseServer(query("1")) == "a");

    routing::RouteQuery excluding = query("2");
    excluding.excluded = {core::BackendServerId("a")};
    CHECK(fixture.chooseServer(excluding) == "overloaded");

    fixture.router.setMembers({remoteMember("far", 9, 0)});
    excluding.excludedInstances = {core::InstanceId("far")};
    CHECK(fixture.chooseServer(excluding) == "overloaded");
    fixture.router.setMembers({});

    routing::RouteQuery forwarded = query("3", {otherRegion});
    forwarded.isForwarded = true;
    CHECK(fixture.chooseServer(forwarded) == "region_not_allowed");
    CHECK(fixture.chooseServer(query("4", {otherRegion})) == "no_backend_server");
}

TEST_CASE("a forwarded request is never sent on")
{
    Fixture fixture;
    fixture.router.setDirectory({server("a", 1)});
    fixture.router.setMembers({remoteMember("far", 9, 0)});
    routing::RouteQuery forwarded = query("1");
    forwarded.isForwarded = true;
    CHECK(fixture.chooseAndStart(forwarded) == "a");
    forwarded.request = core::RequestId("2");
    CHECK(fixture.chooseAndStart(forwarded) == "overloaded");
}

TEST_CASE("a data centre whose instances are all gone is passed over, also when an instance is excluded")
{
    Fixture fixture;
    fixture.router.setMembers({remoteMember("away-a", 4, 0)});
    membership::Member unusable = remoteMember("away-a", 4, 0);
    unusable.isUsable = false;
    fixture.router.setMembers({unusable});
    routing::RouteQuery remote = query("r1", {otherRegion});
    remote.excludedInstances = {core::InstanceId("away-b")};
    CHECK(fixture.chooseAndStart(remote) == "no_backend_server");
}

TEST_CASE("a prompt goes where its prefix is cached, until an event is missing")
{
    Fixture fixture;
    std::vector<platform::BackendServer> servers;
    servers.reserve(20);
    for (int i = 0; i < 20; ++i) {
        servers.push_back(server("s" + std::to_string(i)));
    }
    fixture.router.setDirectory(servers);
    fixture.router.handle(messages::CacheReported{core::BackendServerId("s7"), 1, {11, 12, 13}, {}});
    routing::RouteQuery prompt = query("1");
    prompt.prefixHashes = {11, 12, 13, 14};
    int hits = 0;
    for (int i = 0; i < 20; ++i) {
        hits += fixture.chooseServer(prompt) == "s7" ? 1 : 0;
    }
    CHECK(hits == 20);

    // Event 2 is lost, so the index entries of this server may be wrong.
    fixture.router.handle(messages::CacheReported{core::BackendServerId("s7"), 3, {99}, {}});
    hits = 0;
    for (int i = 0; i < 20; ++i) {
        hits += fixture.chooseServer(prompt) == "s7" ? 1 : 0;
    }
    CHECK(hits < 10);
}

TEST_CASE("own work in flight is added to a lagging load report, and an expired report is ignored")
{
    Fixture fixture;
    fixture.router.setDirectory({server("a", 4)});
    fixture.router.handle(messages::LoadReported{core::BackendServerId("a"), 3, 0});
    CHECK(fixture.chooseAndStart(query("1")) == "a");
    CHECK(fixture.chooseAndStart(query("2")) == "overloaded");
    CHECK(fixture.router.freeSlots(chat, firstVersion) == 0);
    fixture.timers.advance(absl::Seconds(12));
    CHECK(fixture.router.freeSlots(chat, firstVersion) == 3);
}

TEST_CASE("a wide-area link carries no more than its budget")
{
    // A request of 4 kB and 200 generated tokens of 200 bytes is 352 kbit. The bucket holds 2 s at 1 Mbit/s, enough for five.
    Fixture fixture(1'000'000);
    fixture.router.setMembers({remoteMember("far", 100, 0)});
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += fixture.chooseAndStart(query(std::to_string(i))) == "far" ? 1 : 0;
    }
    CHECK(sent == 5);
    fixture.timers.advance(absl::Seconds(1));
    CHECK(fixture.chooseAndStart(query("later")) == "far");
}

TEST_CASE("a backend server that returns is warmed up, and one that fails three times in a row is ejected for a while")
{
    Fixture fixture;
    fixture.router.setDirectory({server("a", 10)});
    fixture.router.setDirectory({});
    fixture.router.setDirectory({server("a", 10)});
    CHECK(fixture.router.freeSlots(chat, firstVersion) == 5);
    fixture.timers.advance(absl::Seconds(10));
    CHECK(fixture.router.freeSlots(chat, firstVersion) == 7);
    fixture.timers.advance(absl::Seconds(30));
    CHECK(fixture.router.freeSlots(chat, firstVersion) == 10);
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.chooseAndStart(query(std::to_string(i))) == "a");
        fixture.router.finished(core::RequestId(std::to_string(i)), true);
    }
    CHECK(fixture.chooseServer(query("4")) != "a");
    fixture.timers.advance(absl::Seconds(7));
    CHECK(fixture.chooseServer(query("5")) == "a");
}

TEST_CASE("a region that the peak ledger prefers is chosen before a nearer one")
{
    Fixture fixture;
    fixture.router.setDirectory({server("a")});
    fixture.router.setMembers({remoteMember("far", 2, 0)});
    routing::RouteQuery preferringOther = query("1");
    preferringOther.preferredRegions = {otherRegion};
    CHECK(fixture.chooseAndStart(preferringOther) == "far");
}

TEST_CASE("residency and slots hold under random events")
{
    const bool holds = rc::check("no choice outside the permitted regions, none above the slots", [] {
        Fixture fixture;
        fixture.router.setDirectory({server("a", 2), server("b", 3)});
        fixture.router.setMembers({remoteMember("far", 4, 1)});
        std::map<std::string, int> runningByServer;
        std::vector<std::pair<std::string, std::string>> startedRequests;
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 5);
            if (action == 0 && !startedRequests.empty()) {
                fixture.router.finished(core::RequestId(startedRequests.back().first), *rc::gen::arbitrary<bool>());
                --runningByServer[startedRequests.back().second];
                startedRequests.pop_back();
            } else if (action == 1) {
                fixture.router.handle(messages::LoadReported{core::BackendServerId("a"), *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 3)});
            } else if (action == 2) {
                fixture.router.handle(messages::CacheReported{core::BackendServerId("b"), static_cast<std::uint64_t>(*rc::gen::inRange(0, 9)), {1, 2}, {3}});
            } else {
                const std::vector<core::RegionId> allowed = *rc::gen::element(std::vector<core::RegionId>{ownRegion}, std::vector<core::RegionId>{otherRegion},
                    std::vector<core::RegionId>{ownRegion, otherRegion}, std::vector<core::RegionId>{});
                routing::RouteQuery request = query(std::to_string(i), allowed);
                request.prefixHashes = {1, 2, 3};
                const core::Expected<routing::RouteChoice> choice = fixture.router.choose(request);
                if (!choice) {
                    continue;
                }
                RC_ASSERT(std::find(allowed.begin(), allowed.end(), choice->region) != allowed.end());
                fixture.router.started(request, *choice);
                if (choice->isLocal()) {
                    startedRequests.emplace_back(request.request.value(), choice->backendServer.value());
                    RC_ASSERT(++runningByServer[choice->backendServer.value()] <= (choice->backendServer.value() == "a" ? 2 : 3));
                }
            }
        }
    });
    CHECK(holds);
}
