#include "snipeferry/gateway/promptmemory.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

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
      m_expiryTimer(timers.every(EXPIRY_CHECK_PERIOD, [this] { removeExpired(); }))
{
}

void PromptCacheIndex::removeExpired()
{
    const absl::Time limit = m_timers.now() - ENTRY_LIFETIME;
    for (auto &entry : m_parts) {
        absl::erase_if(entry.second, [limit](const auto &holder) { return holder.second.lastUsedAt < limit; });
    }
    absl::erase_if(m_parts, [](const auto &entry) { return entry.second.empty(); });
    absl::erase_if(m_lastReportsToOtherRegions, [limit](const auto &entry) { return entry.second < limit; });
}

void PromptCacheIndex::noteDispatched(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration prefillTime)
{
    const absl::Time now = m_timers.now();
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        const std::string &part = parts[index].id;
        CacheEntry &cacheEntry = updateEntry(server, part, now + prefillTime);
        if (now - cacheEntry.reportedAt >= REGION_REPORT_PERIOD) {
            cacheEntry.reportedAt = now;
            m_unreportedInRegion.push_back({server, part});
        }
        absl::Time &lastReport = m_lastReportsToOtherRegions.try_emplace(part, absl::InfinitePast()).first->second;
        if (now - lastReport >= OTHER_REGIONS_REPORT_PERIOD) {
            lastReport = now;
            m_unreportedToOtherRegions.push_back({server, part});
        }
    }
}

void PromptCacheIndex::notePeerReports(const std::vector<ReadPart> &parts)
{
    for (const ReadPart &report : parts) {
        CacheEntry &cacheEntry = updateEntry(report.server, report.part, m_timers.now() + PEER_PREFILL_TIME);
        cacheEntry.reportedAt = m_timers.now();
    }
}

PromptCacheIndex::CacheEntry &PromptCacheIndex::updateEntry(const core::BackendServerId &server, const std::string &part, absl::Time cachedAt)
{
    const absl::Time now = m_timers.now();
    CacheEntry &cacheEntry = m_parts[part][server];
    // An evicted part has to be prefilled again.
    const bool isExpired = now - cacheEntry.lastUsedAt >= ENTRY_LIFETIME;
    cacheEntry.cachedAt = isExpired ? cachedAt : std::min(cacheEntry.cachedAt, cachedAt);
    cacheEntry.lastUsedAt = now;
    return cacheEntry;
}

std::vector<ReadPart> PromptCacheIndex::takeUnreported(bool isForRegion)
{
    return std::exchange(isForRegion ? m_unreportedInRegion : m_unreportedToOtherRegions, {});
}

void PromptCacheIndex::removeServer(const core::BackendServerId &server)
{
    for (auto &entry : m_parts) {
        entry.second.erase(server);
    }
}

std::int64_t PromptCacheIndex::expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, absl::InfiniteFuture());
}

std::int64_t PromptCacheIndex::cachedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, m_timers.now());
}

const PromptCacheIndex::CacheEntry *PromptCacheIndex::find(const core::BackendServerId &server, const std::string &part) const
{
    const auto holders = m_parts.find(part);
    if (holders == m_parts.end()) {
        return nullptr;
    }
    const auto it = holders->second.find(server);
    const bool isCached = it != holders->second.end() && m_timers.now() - it->second.lastUsedAt < ENTRY_LIFETIME;
    return isCached ? &it->second : nullptr;
}

std::int64_t PromptCacheIndex::leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Time cachedBefore) const
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
    for (const auto &holder : holders->second) {
        if (holder.second.cachedAt <= m_timers.now()) {
            all.push_back(holder.first);
        }
    }
    return all;
}

} // namespace snipeferry::gateway
