#include "snipeferry/gateway/backendtable.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace snipeferry;
using namespace snipeferry::gateway;

namespace {

constexpr std::int64_t SHARED_TOKENS = 5000;
constexpr std::int64_t UNIQUE_TOKENS = 6000;
/** Prompt tokens that an engine prefills per millisecond; the backend table's initial value. */
constexpr double TOKENS_PER_MS = 45;
const core::ServiceId SERVICE("engine");

BackendServer makeEngine(const std::string &name, const std::string &dataCentre)
{
    BackendServer server;
    server.id = core::BackendServerId(name);
    server.service = SERVICE;
    server.address = "address-of-" + name;
    server.dataCentre = core::DataCentreId(dataCentre);
    server.slots = 64;
    return server;
}

Service makeEngineService(double memoryLinkMbps)
{
    Service service;
    service.id = SERVICE;
    service.isModelEngine = true;
    service.memoryBytesPerToken = 18'432;
    service.memoryLinkMbps = memoryLinkMbps;
    return service;
}

ServerQuery makeQuery(const std::string &part, int index)
{
    ServerQuery query;
    query.service = SERVICE;
    query.promptTokens = SHARED_TOKENS + UNIQUE_TOKENS;
    query.promptParts = {{part, SHARED_TOKENS}, {absl::StrCat("own-", index), UNIQUE_TOKENS}};
    return query;
}

/** Simulates engines that prefill one prompt after the other, and a backend table that distributes requests among them. */
class EngineSimulation
{
public:
    EngineSimulation(int count, double memoryLinkMbps)
        : m_table(core::InstanceId("here"), m_timers)
    {
        m_table.configure({makeEngineService(memoryLinkMbps)});
        for (int index = 0; index < count; ++index) {
            m_table.announce(makeEngine(absl::StrCat("e", index), "recife-a"));
        }
    }

    /** Sends requests at a fixed interval, each with a random shared part. Returns the shared tokens that were prefilled more than once. */
    std::int64_t simulate(int requests, absl::Duration interval, int parts)
    {
        std::mt19937_64 random(7);
        std::uniform_int_distribution<int> draw(0, parts - 1);
        for (int index = 0; index < requests; ++index) {
            const ServerQuery query = makeQuery(absl::StrCat("part-", draw(random)), index);
            const ServerChoice choice = m_table.choose(query).value();
            m_prefilledSharedTokens += choice.unreadTokens - UNIQUE_TOKENS;
            m_table.started(choice.server, query.priority, choice.unreadTokens, query.promptParts);
            absl::Time &idleAt = m_idleAt[choice.server];
            idleAt = std::max(idleAt, m_timers.now()) + absl::Milliseconds(static_cast<double>(choice.unreadTokens) / TOKENS_PER_MS);
            m_scheduledRuns.emplace(idleAt, std::make_pair(choice, m_timers.now()));
            m_longestWait = std::max(m_longestWait, idleAt - m_timers.now());
            advanceTime(interval);
        }
        return m_prefilledSharedTokens - parts * SHARED_TOKENS;
    }

    absl::Duration longestWait() const
    {
        return m_longestWait;
    }

private:
    void advanceTime(absl::Duration time)
    {
        const absl::Time end = m_timers.now() + time;
        while (!m_scheduledRuns.empty() && m_scheduledRuns.begin()->first <= end) {
            m_timers.advance(std::max(absl::ZeroDuration(), m_scheduledRuns.begin()->first - m_timers.now()));
            const std::pair<ServerChoice, absl::Time> run = m_scheduledRuns.begin()->second;
            m_scheduledRuns.erase(m_scheduledRuns.begin());
            m_table.answered(run.first.server, 5, run.first.unreadTokens, m_timers.now() - run.second);
            m_table.finished(run.first.server, 5, 0, RunEnd::Success, absl::Milliseconds(100));
        }
        m_timers.advance(end - m_timers.now());
    }

    core::VirtualTimerService m_timers;
    BackendTable m_table;
    std::map<core::BackendServerId, absl::Time> m_idleAt;
    std::multimap<absl::Time, std::pair<ServerChoice, absl::Time>> m_scheduledRuns;
    std::int64_t m_prefilledSharedTokens = 0;
    absl::Duration m_longestWait;
};

} // namespace

TEST_CASE("a shared prompt part is copied from the engine that has cached it, once its prefill has ended")
{
    core::VirtualTimerService timers;
    BackendTable table(core::InstanceId("here"), timers);
    table.configure({makeEngineService(740'000)});
    table.announce(makeEngine("near", "recife-a"));
    const ServerQuery first = makeQuery("part", 1);
    CHECK(table.choose(first)->memorySource.empty());
    table.started(core::BackendServerId("near"), 5, first.promptTokens, first.promptParts);
    table.announce(makeEngine("other", "recife-a"));
    table.announce(makeEngine("far", "recife-b"));

    ServerQuery second = makeQuery("part", 2);
    second.excluded = {core::BackendServerId("near")};
    // No copy before the part has been prefilled.
    CHECK(table.choose(second)->memorySource.empty());
    timers.advance(absl::Milliseconds(400));
    second.excluded.push_back(core::BackendServerId("far"));
    const ServerChoice other = *table.choose(second);
    CHECK(other.memorySource == "address-of-near");
    CHECK(other.unreadTokens == UNIQUE_TOKENS);
    // The part is also copied to another data centre, and from another region only if no nearer engine has it.
    second.excluded = {core::BackendServerId("near"), core::BackendServerId("other")};
    CHECK(table.choose(second)->memorySource == "address-of-near");
    table.announceRemote(makeEngine("distant", "salvador-a"));
    table.promptCache().notePeerReports({{core::BackendServerId("distant"), "part"}});
    timers.advance(absl::Milliseconds(400));
    CHECK(table.choose(second)->memorySource == "address-of-near");
    // No copy from a draining engine.
    BackendServer draining = makeEngine("near", "recife-a");
    draining.isDraining = true;
    table.announce(draining);
    CHECK(table.choose(second)->memorySource == "address-of-distant");
    table.remove(core::BackendServerId("distant"));
    CHECK(table.choose(second)->memorySource.empty());
}

TEST_CASE("a shared prompt part is prefilled again if the engines cannot copy it or if it is too short")
{
    core::VirtualTimerService timers;
    BackendTable table(core::InstanceId("here"), timers);
    table.configure({makeEngineService(0)});
    table.announce(makeEngine("near", "recife-a"));
    const ServerQuery first = makeQuery("part", 1);
    table.started(core::BackendServerId("near"), 5, first.promptTokens, first.promptParts);
    table.announce(makeEngine("other", "recife-a"));
    timers.advance(absl::Milliseconds(400));
    ServerQuery second = makeQuery("part", 2);
    second.excluded = {core::BackendServerId("near")};
    CHECK(table.choose(second)->memorySource.empty());

    table.configure({makeEngineService(740'000)});
    CHECK(table.choose(second)->memorySource == "address-of-near");
    second.promptParts.front().tokens = 200;
    CHECK(table.choose(second)->memorySource.empty());
}

TEST_CASE("many requests with few shared prompt parts spread over all engines without prefilling them again")
{
    // Six engines, four shared parts of 5,000 tokens, and requests that use nine tenths of the engines' prefill capacity.
    const absl::Duration interval = absl::Milliseconds(UNIQUE_TOKENS / TOKENS_PER_MS / 6 / 0.9);
    EngineSimulation withCopies(6, 740'000);
    EngineSimulation withoutCopies(6, 0);
    const std::int64_t prefilledAgain = withCopies.simulate(600, interval, 4);
    const std::int64_t prefilledAgainWithoutCopies = withoutCopies.simulate(600, interval, 4);
    INFO("prefilled again with copies " << prefilledAgain << ", without " << prefilledAgainWithoutCopies << "; longest wait with copies "
                                        << withCopies.longestWait() << ", without " << withoutCopies.longestWait());
    // A second engine may prefill a part while the first one is still busy with it.
    CHECK(prefilledAgain <= 4 * SHARED_TOKENS);
    CHECK(prefilledAgain * 3 < prefilledAgainWithoutCopies);
    CHECK(withCopies.longestWait() <= withoutCopies.longestWait());
}
