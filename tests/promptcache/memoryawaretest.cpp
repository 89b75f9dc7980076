#include "snipeferry/gateway/backendtable.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace snipeferry;
using namespace snipeferry::gateway;

namespace {

constexpr std::int64_t MEMORY = 100'000;
const core::ServiceId SERVICE("engine");
const core::BackendServerId FIRST("e0");
const std::vector<PromptPart> PARTS{{"part", 5'000}, {"own", 6'000}};

ServerQuery makeQuery(std::int64_t ownTokens = 6'000)
{
    ServerQuery query;
    query.service = SERVICE;
    query.promptTokens = 5'000 + ownTokens;
    query.promptParts = {{"part", 5'000}, {"own", ownTokens}};
    query.ownTokens = ownTokens;
    return query;
}

/** A table with engines whose runs take 400 ms; the part has been read at the first one. */
struct Engines
{
    Engines(int count, std::int64_t memoryTokens, bool isMemoryAware, int slots = 64)
    {
        Service service;
        service.id = SERVICE;
        service.isModelEngine = true;
        service.memoryTokens = memoryTokens;
        table.configure({service});
        table.setMemoryAware(isMemoryAware);
        for (int index = 0; index < count; ++index) {
            BackendServer server;
            server.id = core::BackendServerId(absl::StrCat("e", index));
            server.service = SERVICE;
            server.slots = slots;
            table.announce(server);
        }
        for (int run = 0; run < 300; ++run) {
            table.finished(FIRST, 5, 0, RunEnd::Success, absl::Milliseconds(400));
        }
        table.started(FIRST, 5, 0, PARTS, 6'000);
        table.finished(FIRST, 5, 0, RunEnd::Success, absl::Milliseconds(400), 6'000);
        timers.advance(absl::Seconds(2));
    }

    double chance()
    {
        return table.promptCache().chance(FIRST, "part");
    }

    core::VirtualTimerService timers;
    BackendTable table{core::InstanceId("here"), timers};
};

} // namespace

// Guards against parts that are lost by time alone, or trusted after the engine has displaced them.
TEST_CASE("a part is held until the engine has taken in as many tokens as fit into its memory")
{
    Engines engines(1, MEMORY, true);
    engines.timers.advance(absl::Seconds(60));
    CHECK(engines.chance() == 1);
    engines.table.promptCache().noteTakenIn(FIRST, 90'000);
    CHECK(engines.chance() == Approx(0.5).margin(0.02));
    CHECK(engines.table.choose(makeQuery())->unreadTokens == Approx(8'500).margin(100));
    engines.table.promptCache().noteTakenIn(FIRST, 27'000);
    CHECK(engines.chance() == 0);
    CHECK(engines.table.choose(makeQuery())->unreadTokens == 11'000);

    // A restart or the end of the server removes what is known, whatever the memory says.
    engines.table.started(FIRST, 5, 0, PARTS);
    CHECK(engines.chance() == 1);
    BackendServer server = *engines.table.find(FIRST);
    ++server.startedAtMs;
    engines.table.announce(server);
    CHECK(engines.chance() == 0);
    engines.table.started(FIRST, 5, 0, PARTS);
    CHECK(engines.chance() == 1);
    engines.table.remove(FIRST);
    CHECK(engines.chance() == 0);
}

// Guards against a choice whose part is displaced before the request arrives and then counted as held from the earlier use.
TEST_CASE("a part that is displaced between choice and arrival counts as being read again")
{
    Engines engines(1, MEMORY, true);
    CHECK(engines.table.choose(makeQuery())->unreadTokens == 6'000);
    // Others' requests, of which the engine tells, fill the memory.
    engines.table.reportLoad(FIRST, 19, 0);
    CHECK(engines.chance() == 0);
    engines.table.started(FIRST, 5, 6'000, PARTS, 6'000);
    CHECK(engines.chance() == 1);
    CHECK(engines.table.promptCache().cachedTokens(FIRST, PARTS) == 0);
}

// Guards against hot parts that look displaced between two reports of the instance that uses them, also when reports are lost.
TEST_CASE("parts in use are reported often enough for the engine's memory, with every second report lost")
{
    Engines engines(1, MEMORY, true);
    core::VirtualTimerService &timers = engines.timers;
    PromptCacheIndex peer(timers);
    peer.setMemoryUse(FIRST, {MEMORY, 0, absl::Milliseconds(400)});
    int reports = 0;
    for (int second = 0; second < 30; ++second) {
        // Both see that the engine takes in an eighth of its memory each second.
        peer.noteTakenIn(FIRST, MEMORY / 8);
        engines.table.promptCache().noteTakenIn(FIRST, MEMORY / 8);
        peer.noteDispatched(FIRST, PARTS, absl::ZeroDuration());
        const std::vector<ReadPart> reported = peer.takeUnreported(true);
        reports += static_cast<int>(reported.size());
        if (reports % 2 == 1) {
            engines.table.promptCache().notePeerReports(reported);
        }
        timers.advance(absl::Seconds(1));
        CHECK(engines.chance() > 0.5);
    }
    CHECK(reports <= 16);
}

// Guards against a queue at the engine that holds a part while another one could read it sooner, and against leaving it for less.
TEST_CASE("a full engine keeps its requests exactly as long as the wait does not exceed what is saved")
{
    const bool isMemoryFull = GENERATE(true, false);
    Engines engines(2, isMemoryFull ? MEMORY : 100 * MEMORY, true, isMemoryFull ? 64 : 4);
    ServerQuery here = makeQuery();
    here.excluded = {core::BackendServerId("e1")};
    ServerQuery there = makeQuery();
    there.excluded = {FIRST};
    int stays = 0;
    int leaves = 0;
    for (int run = 0; run < 40; ++run) {
        engines.table.started(FIRST, 5, 0, PARTS, 6'000);
        const ServerChoice holder = *engines.table.choose(here);
        const absl::Duration wait = holder.wait - engines.table.choose(there)->wait;
        const ServerChoice choice = *engines.table.choose(makeQuery());
        if (wait > absl::ZeroDuration()) {
            CHECK((choice.server == FIRST) == (wait <= holder.saved));
            CHECK(choice.waitCost == (choice.server == FIRST ? wait : absl::ZeroDuration()));
            ++(choice.server == FIRST ? stays : leaves);
        }
    }
    CHECK(stays > 0);
    CHECK(leaves > 0);
}

// Guards against one engine that gets every request for a part that all callers ask for.
TEST_CASE("requests for one hot part use the memory of all engines")
{
    std::mt19937 random(GENERATE(1U, 2U, 3U));
    Engines engines(6, MEMORY, true);
    std::map<core::BackendServerId, std::int64_t> tokens;
    for (std::int64_t sum = 0; sum < 5 * MEMORY;) {
        const ServerQuery query = makeQuery(std::uniform_int_distribution<std::int64_t>(1'000, 12'000)(random));
        const ServerChoice choice = *engines.table.choose(query);
        engines.table.started(choice.server, 5, choice.unreadTokens, query.promptParts, query.ownTokens);
        engines.table.answered(choice.server, 5, choice.unreadTokens, choice.estimate);
        tokens[choice.server] += query.ownTokens;
        sum += query.ownTokens;
    }
    // At the first wait that exceeds the saving of 111 ms, 111/400 of what runs does not fit into the memory.
    for (const auto &entry : tokens) {
        CHECK(entry.second <= MEMORY * 14 / 10);
    }
}

// Guards against a change of decisions where the memory is not stated.
TEST_CASE("engines of unknown memory are chosen as without knowledge of memory")
{
    std::mt19937 random(GENERATE(1U, 2U, 3U));
    Engines unknown(4, 0, true);
    Engines before(4, MEMORY, false);
    for (int step = 0; step < 300; ++step) {
        ServerQuery query = makeQuery();
        query.promptParts.front().id = absl::StrCat("part", random() % 5);
        const ServerChoice choice = *before.table.choose(query);
        const ServerChoice other = *unknown.table.choose(query);
        REQUIRE(other.server == choice.server);
        REQUIRE(other.estimate == choice.estimate);
        const absl::Duration pause = absl::Milliseconds(random() % 200) + absl::Seconds(random() % 50 == 0 ? 40 : 0);
        for (Engines *engines : {&unknown, &before}) {
            engines->table.started(choice.server, 5, choice.unreadTokens, query.promptParts, query.ownTokens);
            engines->timers.advance(pause);
            engines->table.answered(choice.server, 5, choice.unreadTokens, pause);
            if (step % 3 != 0) {
                engines->table.finished(choice.server, 5, 0, RunEnd::Success, pause, query.ownTokens);
            }
        }
    }
}
