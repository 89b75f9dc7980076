#include "snipeferry/gateway/backendtable.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace snipeferry;
using namespace snipeferry::gateway;

namespace {

constexpr std::int64_t SHARED_TOKENS = 5000;
constexpr std::int64_t OWN_TOKENS = 6000;
/** What an engine reads in a millisecond, as the table assumes at its start. */
constexpr double TOKENS_PER_MS = 45;
const core::ServiceId SERVICE("engine");

BackendServer engine(const std::string &name, const std::string &dataCentre)
{
    BackendServer server;
    server.id = core::BackendServerId(name);
    server.service = SERVICE;
    server.address = "address-of-" + name;
    server.dataCentre = core::DataCentreId(dataCentre);
    server.slots = 64;
    return server;
}

Service rulesOf(double memoryLinkMbps)
{
    Service service;
    service.id = SERVICE;
    service.isModelEngine = true;
    service.memoryBytesPerToken = 18'432;
    service.memoryLinkMbps = memoryLinkMbps;
    return service;
}

ServerQuery promptOn(const std::string &part, int number)
{
    ServerQuery query;
    query.service = SERVICE;
    query.promptTokens = SHARED_TOKENS + OWN_TOKENS;
    query.promptParts = {{part, SHARED_TOKENS}, {absl::StrCat("own-", number), OWN_TOKENS}};
    return query;
}

/** Engines that read one prompt after the other, in virtual time, and a table that shares requests out among them. */
class Engines
{
public:
    Engines(int count, double memoryLinkMbps)
        : m_table(core::InstanceId("here"), m_timers)
    {
        m_table.configure({rulesOf(memoryLinkMbps)});
        for (int number = 0; number < count; ++number) {
            m_table.announce(engine(absl::StrCat("e", number), "recife-a"));
        }
    }

    /** Sends requests at a rate, each on one of some shared parts; returns the shared tokens that were read more than once. */
    std::int64_t run(int requests, absl::Duration gap, int parts)
    {
        std::mt19937_64 random(7);
        std::uniform_int_distribution<int> draw(0, parts - 1);
        for (int number = 0; number < requests; ++number) {
            const ServerQuery query = promptOn(absl::StrCat("part-", draw(random)), number);
            const ServerChoice choice = m_table.choose(query).value();
            m_read += choice.unreadTokens - OWN_TOKENS;
            m_table.started(choice.server, query.priority, choice.unreadTokens, query.promptParts);
            absl::Time &free = m_freeAt[choice.server];
            free = std::max(free, m_timers.now()) + absl::Milliseconds(static_cast<double>(choice.unreadTokens) / TOKENS_PER_MS);
            m_done.emplace(free, std::make_pair(choice, m_timers.now()));
            m_longest = std::max(m_longest, free - m_timers.now());
            pass(gap);
        }
        return m_read - parts * SHARED_TOKENS;
    }

    absl::Duration longestWait() const
    {
        return m_longest;
    }

private:
    void pass(absl::Duration time)
    {
        const absl::Time end = m_timers.now() + time;
        while (!m_done.empty() && m_done.begin()->first <= end) {
            m_timers.advance(std::max(absl::ZeroDuration(), m_done.begin()->first - m_timers.now()));
            const std::pair<ServerChoice, absl::Time> done = m_done.begin()->second;
            m_done.erase(m_done.begin());
            m_table.answered(done.first.server, 5, done.first.unreadTokens, m_timers.now() - done.second);
            m_table.finished(done.first.server, 5, 0, RunEnd::Success);
        }
        m_timers.advance(end - m_timers.now());
    }

    core::VirtualTimerService m_timers;
    BackendTable m_table;
    std::map<core::BackendServerId, absl::Time> m_freeAt;
    std::multimap<absl::Time, std::pair<ServerChoice, absl::Time>> m_done;
    std::int64_t m_read = 0;
    absl::Duration m_longest;
};

} // namespace

TEST_CASE("a prompt's shared part is taken over from the engine that keeps it, once it has read it")
{
    core::VirtualTimerService timers;
    BackendTable table(core::InstanceId("here"), timers);
    table.configure({rulesOf(740'000)});
    table.announce(engine("near", "recife-a"));
    const ServerQuery first = promptOn("part", 1);
    CHECK(table.choose(first)->memorySource.empty());
    table.started(core::BackendServerId("near"), 5, first.promptTokens, first.promptParts);
    table.announce(engine("other", "recife-a"));
    table.announce(engine("far", "recife-b"));

    ServerQuery second = promptOn("part", 2);
    second.excluded = {core::BackendServerId("near")};
    // Not before it was read.
    CHECK(table.choose(second)->memorySource.empty());
    timers.advance(absl::Milliseconds(400));
    second.excluded.push_back(core::BackendServerId("far"));
    const ServerChoice other = *table.choose(second);
    CHECK(other.memorySource == "address-of-near");
    CHECK(other.unreadTokens == OWN_TOKENS);
    // Also for another data centre, and from another region if nobody nearer keeps it.
    second.excluded = {core::BackendServerId("near"), core::BackendServerId("other")};
    CHECK(table.choose(second)->memorySource == "address-of-near");
    table.announceDistant(engine("distant", "salvador-a"));
    table.memory().noteByOthers({{core::BackendServerId("distant"), "part"}});
    timers.advance(absl::Milliseconds(400));
    CHECK(table.choose(second)->memorySource == "address-of-near");
    // Not from one that leaves.
    BackendServer leaving = engine("near", "recife-a");
    leaving.isDraining = true;
    table.announce(leaving);
    CHECK(table.choose(second)->memorySource == "address-of-distant");
    table.remove(core::BackendServerId("distant"));
    CHECK(table.choose(second)->memorySource.empty());
}

TEST_CASE("engines that cannot take over, and parts too short to be worth it, read for themselves")
{
    core::VirtualTimerService timers;
    BackendTable table(core::InstanceId("here"), timers);
    table.configure({rulesOf(0)});
    table.announce(engine("near", "recife-a"));
    const ServerQuery first = promptOn("part", 1);
    table.started(core::BackendServerId("near"), 5, first.promptTokens, first.promptParts);
    table.announce(engine("other", "recife-a"));
    timers.advance(absl::Milliseconds(400));
    ServerQuery second = promptOn("part", 2);
    second.excluded = {core::BackendServerId("near")};
    CHECK(table.choose(second)->memorySource.empty());

    table.configure({rulesOf(740'000)});
    CHECK(table.choose(second)->memorySource == "address-of-near");
    second.promptParts.front().tokens = 200;
    CHECK(table.choose(second)->memorySource.empty());
}

TEST_CASE("a crowd on few shared prompts spreads over all engines without reading them again")
{
    // Pattern: six engines, four shared parts of 5,000 tokens, requests that fill nine tenths of what the engines can read.
    const absl::Duration gap = absl::Milliseconds(OWN_TOKENS / TOKENS_PER_MS / 6 / 0.9);
    Engines withTakeover(6, 740'000);
    Engines without(6, 0);
    const std::int64_t readAgain = withTakeover.run(600, gap, 4);
    const std::int64_t readAgainWithout = without.run(600, gap, 4);
    INFO("again " << readAgain << " against " << readAgainWithout << ", longest wait " << withTakeover.longestWait() << " against " << without.longestWait());
    // One reading by a second engine while the first one still reads is no fault.
    CHECK(readAgain <= 4 * SHARED_TOKENS);
    CHECK(readAgain * 3 < readAgainWithout);
    CHECK(withTakeover.longestWait() <= without.longestWait());
}
