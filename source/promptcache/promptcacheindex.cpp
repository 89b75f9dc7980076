#include "snipeferry/promptcache/promptcacheindex.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeferry::promptcache {

namespace {

/** Backend servers evict parts from their cache to make room for others. A part that was last used longer ago than this counts as evicted. */
constexpr absl::Duration ENTRY_LIFETIME = absl::Seconds(30);
/** A part reported by another instance counts as cached this long after the report. By then, short queues have prefilled it. */
constexpr absl::Duration PEER_PREFILL_TIME = absl::Milliseconds(150);
/** Interval at which a part in use is reported to the region again. Half its lifetime leaves room for one lost message. */
constexpr absl::Duration REGION_REPORT_PERIOD = absl::Seconds(15);
/** Interval of reports to other regions. They copy a part from the backend server reported last, which should not have evicted it by then. */
constexpr absl::Duration OTHER_REGIONS_REPORT_PERIOD = absl::Seconds(5);
constexpr absl::Duration EXPIRY_CHECK_PERIOD = absl::Seconds(5);
/** Longest lifetime where the memory is known: keeps the index at a quarter of the full load as small as it is at full load without known memory. */
constexpr absl::Duration LONGEST_LIFETIME = absl::Seconds(120);
/**
 * An entry is held for certain below the first fraction of the memory, and evicted for certain above the second. Other instances' tokens are estimated
 * from their share of the runs, and reports are up to a pulse late; the limits allow for an error of about a fifth. Not measured.
 */
constexpr double CERTAINLY_HELD_FRACTION = 0.7;
constexpr double CERTAINLY_EVICTED_FRACTION = 1.1;
/** Parts in use are reported again when the server has taken in this fraction of its memory. Otherwise hot parts would look evicted between two reports. */
constexpr int REPORTS_PER_MEMORY = 4;
/** Units of the marks in one memory: a precision of 0.4%. The mark wraps after 16 memories, which no engine takes in between two expiry checks. */
constexpr std::int64_t UNITS_PER_MEMORY = 256;
/** Runs that began at a part's last use have ended after this many usual durations. */
constexpr int LONG_RUN_FACTOR = 2;

} // namespace

PromptCacheIndex::PromptCacheIndex(core::TimerService &timers)
    : m_timers(timers),
      m_startedAt(timers.now()),
      m_expiryTimer(timers.every(EXPIRY_CHECK_PERIOD, [this] { removeExpired(); }))
{
}

PromptCacheIndex::Milliseconds PromptCacheIndex::sinceStart(absl::Time time) const
{
    const std::int64_t milliseconds = absl::ToInt64Milliseconds(time - m_startedAt);
    return static_cast<Milliseconds>(std::clamp<std::int64_t>(milliseconds, NEVER + 1, NOT_YET - 1));
}

bool PromptCacheIndex::isAgo(Milliseconds time, absl::Duration duration) const
{
    return time == NEVER || sinceStart(m_timers.now()) - static_cast<std::int64_t>(time) >= absl::ToInt64Milliseconds(duration);
}

PromptCacheIndex::ServerNumber PromptCacheIndex::numberOf(const core::BackendServerId &server)
{
    if (m_servers.size() >= (std::size_t{1} << SERVER_BITS)) {
        // So many servers have come and gone that the numbers are used up.
        m_parts.clear();
        m_serverNumbers.clear();
        m_servers.clear();
        m_memories.clear();
    }
    const auto added = m_serverNumbers.try_emplace(server, static_cast<ServerNumber>(m_servers.size()));
    if (added.second) {
        m_servers.push_back(server);
    }
    return added.first->second;
}

void PromptCacheIndex::removeExpired()
{
    for (auto &entry : m_parts) {
        Holders &holders = entry.second;
        const auto isExpired = [this](const CacheEntry &holder) {
            return chanceOf(holder) <= 0;
        };
        holders.erase(std::remove_if(holders.begin(), holders.end(), isExpired), holders.end());
    }
    absl::erase_if(m_parts, [](const auto &entry) { return entry.second.empty(); });
    absl::erase_if(m_lastReportsToOtherRegions, [this](const auto &entry) { return isAgo(entry.second, ENTRY_LIFETIME); });
}

void PromptCacheIndex::noteDispatched(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration prefillTime)
{
    const absl::Time now = m_timers.now();
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        const std::string &part = parts[index].id;
        CacheEntry &cacheEntry = updateEntry(server, part, now + prefillTime);
        if (isReportDue(cacheEntry)) {
            cacheEntry.reportedAt = sinceStart(now);
            m_unreportedInRegion.push_back({server, part});
        }
        Milliseconds &lastReport = m_lastReportsToOtherRegions.try_emplace(part, NEVER).first->second;
        if (isAgo(lastReport, OTHER_REGIONS_REPORT_PERIOD)) {
            lastReport = sinceStart(now);
            m_unreportedToOtherRegions.push_back({server, part});
        }
    }
}

void PromptCacheIndex::notePeerReports(const std::vector<ReadPart> &parts)
{
    for (const ReadPart &report : parts) {
        CacheEntry &cacheEntry = updateEntry(report.server, report.part, m_timers.now() + PEER_PREFILL_TIME);
        cacheEntry.reportedAt = sinceStart(m_timers.now());
    }
}

PromptCacheIndex::CacheEntry &PromptCacheIndex::updateEntry(const core::BackendServerId &server, const std::string &part, absl::Time cachedAt)
{
    const ServerNumber number = numberOf(server);
    Holders &holders = m_parts[part];
    auto it = std::find_if(holders.begin(), holders.end(), [number](const CacheEntry &holder) { return holder.server == number; });
    if (it == holders.end()) {
        // Grows by one: most parts have few holders.
        holders.reserve(holders.size() + 1);
        it = holders.insert(holders.end(), CacheEntry{number, 0, NEVER, NOT_YET, NEVER});
    }
    CacheEntry &cacheEntry = *it;
    // An evicted part has to be prefilled again.
    const bool isExpired = chanceOf(cacheEntry) <= 0;
    cacheEntry.cachedAt = isExpired ? sinceStart(cachedAt) : std::min(cacheEntry.cachedAt, sinceStart(cachedAt));
    cacheEntry.lastUsedAt = sinceStart(m_timers.now());
    cacheEntry.takenInMark = currentMark(number);
    return cacheEntry;
}

std::vector<ReadPart> PromptCacheIndex::takeUnreported(bool isForRegion)
{
    return std::exchange(isForRegion ? m_unreportedInRegion : m_unreportedToOtherRegions, {});
}

void PromptCacheIndex::removeServer(const core::BackendServerId &server)
{
    const auto known = m_serverNumbers.find(server);
    if (known == m_serverNumbers.end()) {
        return;
    }
    const ServerNumber number = known->second;
    for (auto &entry : m_parts) {
        Holders &holders = entry.second;
        holders.erase(std::remove_if(holders.begin(), holders.end(), [number](const CacheEntry &holder) { return holder.server == number; }), holders.end());
    }
}

std::int64_t PromptCacheIndex::expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, NOT_YET);
}

std::int64_t PromptCacheIndex::cachedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, sinceStart(m_timers.now()));
}

const PromptCacheIndex::CacheEntry *PromptCacheIndex::find(const core::BackendServerId &server, const std::string &part) const
{
    const auto holders = m_parts.find(part);
    const auto known = m_serverNumbers.find(server);
    if (holders == m_parts.end() || known == m_serverNumbers.end()) {
        return nullptr;
    }
    const auto it
        = std::find_if(holders->second.begin(), holders->second.end(), [number = known->second](const CacheEntry &holder) { return holder.server == number; });
    const bool isCached = it != holders->second.end() && chanceOf(*it) > 0;
    return isCached ? &*it : nullptr;
}

std::int64_t PromptCacheIndex::leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, Milliseconds cachedBefore) const
{
    // A cached part is useful only together with all parts before it. A backend server that has a later part also has those.
    double usableTokens = 0;
    double highestChance = 0;
    for (std::size_t index = parts.empty() ? 0 : parts.size() - 1; index-- > 0;) {
        const CacheEntry *cacheEntry = find(server, parts[index].id);
        if (cacheEntry != nullptr && cacheEntry->cachedAt <= cachedBefore) {
            highestChance = std::max(highestChance, chanceOf(*cacheEntry));
        }
        usableTokens += highestChance * static_cast<double>(parts[index].tokens);
    }
    return std::llround(usableTokens);
}

void PromptCacheIndex::setMemoryUse(const core::BackendServerId &server, const MemoryUse &use)
{
    if (use.capacity <= 0 && m_memories.empty()) {
        return;
    }
    const ServerNumber number = numberOf(server);
    if (m_memories.size() <= number) {
        m_memories.resize(number + std::size_t{1});
    }
    ServerMemory &memory = m_memories[number];
    memory.use = use;
    if (memory.unitTokens == 0 && use.capacity > 0) {
        memory.unitTokens = std::max<std::int64_t>(1, use.capacity / UNITS_PER_MEMORY);
    }
}

void PromptCacheIndex::noteTakenIn(const core::BackendServerId &server, std::int64_t tokens)
{
    const auto known = m_serverNumbers.find(server);
    if (known == m_serverNumbers.end() || knownMemory(known->second) == nullptr) {
        return;
    }
    ServerMemory &memory = m_memories[known->second];
    memory.takenInTokens += std::max<std::int64_t>(0, tokens);
    const std::int64_t interval = memory.takenInTokens * REPORTS_PER_MEMORY / memory.use.capacity;
    if (interval != memory.reportInterval) {
        memory.reportInterval = interval;
        memory.reportIntervalBeganAt = sinceStart(m_timers.now());
    }
}

const PromptCacheIndex::ServerMemory *PromptCacheIndex::knownMemory(ServerNumber server) const
{
    return server < m_memories.size() && m_memories[server].use.capacity > 0 ? &m_memories[server] : nullptr;
}

std::uint32_t PromptCacheIndex::currentMark(ServerNumber server) const
{
    const ServerMemory *memory = knownMemory(server);
    return memory == nullptr ? 0 : static_cast<std::uint32_t>(memory->takenInTokens / memory->unitTokens) & ((1U << MARK_BITS) - 1);
}

double PromptCacheIndex::chanceOf(const CacheEntry &entry) const
{
    const ServerMemory *memory = knownMemory(entry.server);
    if (isAgo(entry.lastUsedAt, memory == nullptr ? ENTRY_LIFETIME : LONGEST_LIFETIME)) {
        return 0;
    }
    if (memory == nullptr) {
        return 1;
    }
    const std::uint32_t units = (currentMark(entry.server) - entry.takenInMark) & ((1U << MARK_BITS) - 1);
    std::int64_t tokens = static_cast<std::int64_t>(units) * memory->unitTokens;
    // The run of the last use keeps the part in the memory, however full that is. Later, the running requests have all begun after the last use.
    if (isAgo(entry.lastUsedAt, memory->use.runTime * LONG_RUN_FACTOR)) {
        tokens = std::max(tokens, memory->use.runningTokens);
    }
    const double fraction = static_cast<double>(tokens) / static_cast<double>(memory->use.capacity);
    return std::clamp((CERTAINLY_EVICTED_FRACTION - fraction) / (CERTAINLY_EVICTED_FRACTION - CERTAINLY_HELD_FRACTION), 0.0, 1.0);
}

double PromptCacheIndex::chance(const core::BackendServerId &server, const std::string &part) const
{
    const CacheEntry *entry = find(server, part);
    return entry == nullptr ? 0 : chanceOf(*entry);
}

bool PromptCacheIndex::isReportDue(const CacheEntry &entry) const
{
    const ServerMemory *memory = knownMemory(entry.server);
    return isAgo(entry.reportedAt, REGION_REPORT_PERIOD) || (memory != nullptr && entry.reportedAt < memory->reportIntervalBeganAt);
}

bool PromptCacheIndex::hasPart(const core::BackendServerId &server, const std::string &part) const
{
    return find(server, part) != nullptr;
}

std::vector<core::BackendServerId> PromptCacheIndex::holders(const std::vector<PromptPart> &parts) const
{
    std::vector<core::BackendServerId> all;
    if (parts.size() < 2) {
        return all;
    }
    const auto holders = m_parts.find(parts[parts.size() - 2].id);
    if (holders == m_parts.end()) {
        return all;
    }
    const Milliseconds now = sinceStart(m_timers.now());
    for (const CacheEntry &holder : holders->second) {
        if (holder.cachedAt <= now && (knownMemory(holder.server) == nullptr || chanceOf(holder) > 0)) {
            all.push_back(m_servers[holder.server]);
        }
    }
    return all;
}

} // namespace snipeferry::promptcache
