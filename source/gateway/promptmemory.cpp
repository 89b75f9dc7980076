#include "snipeferry/gateway/promptmemory.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** A backend server forgets parts that others displaced; parts last used longer ago count as gone. */
constexpr absl::Duration PART_LIFETIME = absl::Seconds(30);
/** Bound of remembered parts of one backend server. */
constexpr std::size_t MAX_PARTS = 512;
/** News of other instances come this long after the part was given, at least; by then short queues have read it. */
constexpr absl::Duration READ_BY_OTHERS = absl::Milliseconds(150);

} // namespace

PromptMemory::PromptMemory(core::TimerService &timers)
    : m_timers(timers)
{
}

void PromptMemory::noteGiven(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration readIn)
{
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        note(server, parts[index].id, m_timers.now() + readIn);
        m_fresh.push_back({server, parts[index].id});
    }
}

void PromptMemory::noteByOthers(const std::vector<ReadPart> &parts)
{
    for (const ReadPart &read : parts) {
        note(read.server, read.part, m_timers.now() + READ_BY_OTHERS);
    }
}

void PromptMemory::note(const core::BackendServerId &server, const std::string &part, absl::Time readAt)
{
    const absl::Time now = m_timers.now();
    Parts &parts = m_servers[server];
    if (parts.size() > MAX_PARTS) {
        absl::erase_if(parts, [limit = now - PART_LIFETIME / 2](const auto &entry) { return entry.second.usedAt < limit; });
    }
    Kept &kept = parts[part];
    // What was given up as displaced has to be read again.
    const bool isGone = now - kept.usedAt >= PART_LIFETIME;
    kept.readAt = isGone ? readAt : std::min(kept.readAt, readAt);
    kept.usedAt = now;
}

std::vector<ReadPart> PromptMemory::takeFresh()
{
    return std::exchange(m_fresh, {});
}

void PromptMemory::forget(const core::BackendServerId &server)
{
    m_servers.erase(server);
}

std::int64_t PromptMemory::expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, absl::InfiniteFuture());
}

std::int64_t PromptMemory::keptTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, m_timers.now());
}

std::int64_t PromptMemory::leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Time readBefore) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end()) {
        return 0;
    }
    // A part is of use only behind all parts before it; whoever keeps a later one keeps those too.
    std::int64_t kept = 0;
    std::int64_t before = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        before += parts[index].tokens;
        const auto it = known->second.find(parts[index].id);
        if (it != known->second.end() && it->second.readAt <= readBefore && m_timers.now() - it->second.usedAt < PART_LIFETIME) {
            kept = before;
        }
    }
    return kept;
}

bool PromptMemory::hasPart(const core::BackendServerId &server, const std::string &part) const
{
    const auto known = m_servers.find(server);
    return known != m_servers.end() && known->second.contains(part);
}

} // namespace snipeferry::gateway
