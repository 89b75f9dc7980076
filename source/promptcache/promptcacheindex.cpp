#include "snipeferry/promptcache/promptcacheindex.h"

#include <algorithm>
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
            return isAgo(holder.lastUsedAt, ENTRY_LIFETIME);
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
        if (isAgo(cacheEntry.reportedAt, REGION_REPORT_PERIOD)) {
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
        it = holders.insert(holders.end(), CacheEntry{number, NEVER, NOT_YET, NEVER});
    }
    CacheEntry &cacheEntry = *it;
    // An evicted part has to be prefilled again.
    const bool isExpired = isAgo(cacheEntry.lastUsedAt, ENTRY_LIFETIME);
    cacheEntry.cachedAt = isExpired ? sinceStart(cachedAt) : std::min(cacheEntry.cachedAt, sinceStart(cachedAt));
    cacheEntry.lastUsedAt = sinceStart(m_timers.now());
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
    const bool isCached = it != holders->second.end() && !isAgo(it->lastUsedAt, ENTRY_LIFETIME);
    return isCached ? &*it : nullptr;
}

std::int64_t PromptCacheIndex::leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, Milliseconds cachedBefore) const
{
    // A cached part is useful only together with all parts before it. A backend server that has a later part also has those.
    std::int64_t usableTokens = 0;
    std::int64_t prefixTokens = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        prefixTokens += parts[index].tokens;
        const CacheEntry *cacheEntry = find(server, parts[index].id);
        if (cacheEntry != nullptr && cacheEntry->cachedAt <= cachedBefore) {
            usableTokens = prefixTokens;
        }
    }
    return usableTokens;
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
        if (holder.cachedAt <= now) {
            all.push_back(m_servers[holder.server]);
        }
    }
    return all;
}

} // namespace snipeferry::promptcache
