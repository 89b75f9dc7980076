#include "snipeferry/gateway/promptmemory.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** A backend server forgets parts that others displaced; parts last used longer ago count as gone. */
constexpr absl::Duration PART_LIFETIME = absl::Seconds(30);
/** News of other instances come this long after the part was given, at least; by then short queues have read it. */
constexpr absl::Duration READ_BY_OTHERS = absl::Milliseconds(150);
/** A part that is still in use is told again after this; half its lifetime leaves room for a lost message. */
constexpr absl::Duration TELL_PERIOD = absl::Seconds(15);
/** Other regions take a part over from whoever was named last; it should not be displaced by then. */
constexpr absl::Duration TELL_OTHERS_PERIOD = absl::Seconds(5);
constexpr absl::Duration DROP_PERIOD = absl::Seconds(5);

} // namespace

PromptMemory::PromptMemory(core::TimerService &timers)
    : m_timers(timers),
      m_dropTimer(timers.every(DROP_PERIOD, [this] { dropOld(); }))
{
}

void PromptMemory::dropOld()
{
    const absl::Time limit = m_timers.now() - PART_LIFETIME;
    for (auto &entry : m_parts) {
        absl::erase_if(entry.second, [limit](const auto &holder) { return holder.second.usedAt < limit; });
    }
    absl::erase_if(m_parts, [](const auto &entry) { return entry.second.empty(); });
    absl::erase_if(m_toldOthers, [limit](const auto &entry) { return entry.second < limit; });
}

void PromptMemory::noteGiven(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration readIn)
{
    const absl::Time now = m_timers.now();
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        const std::string &part = parts[index].id;
        Kept &kept = note(server, part, now + readIn);
        if (now - kept.toldAt >= TELL_PERIOD) {
            kept.toldAt = now;
            m_freshForRegion.push_back({server, part});
        }
        absl::Time &toldOthers = m_toldOthers.try_emplace(part, absl::InfinitePast()).first->second;
        if (now - toldOthers >= TELL_OTHERS_PERIOD) {
            toldOthers = now;
            m_freshForOthers.push_back({server, part});
        }
    }
}

void PromptMemory::noteByOthers(const std::vector<ReadPart> &parts)
{
    for (const ReadPart &read : parts) {
        Kept &kept = note(read.server, read.part, m_timers.now() + READ_BY_OTHERS);
        kept.toldAt = m_timers.now();
    }
}

PromptMemory::Kept &PromptMemory::note(const core::BackendServerId &server, const std::string &part, absl::Time readAt)
{
    const absl::Time now = m_timers.now();
    Kept &kept = m_parts[part][server];
    // What was given up as displaced has to be read again.
    const bool isGone = now - kept.usedAt >= PART_LIFETIME;
    kept.readAt = isGone ? readAt : std::min(kept.readAt, readAt);
    kept.usedAt = now;
    return kept;
}

std::vector<ReadPart> PromptMemory::takeFresh(bool isForRegion)
{
    return std::exchange(isForRegion ? m_freshForRegion : m_freshForOthers, {});
}

void PromptMemory::forget(const core::BackendServerId &server)
{
    for (auto &entry : m_parts) {
        entry.second.erase(server);
    }
}

std::int64_t PromptMemory::expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, absl::InfiniteFuture());
}

std::int64_t PromptMemory::keptTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const
{
    return leadingTokens(server, parts, m_timers.now());
}

const PromptMemory::Kept *PromptMemory::find(const core::BackendServerId &server, const std::string &part) const
{
    const auto holders = m_parts.find(part);
    if (holders == m_parts.end()) {
        return nullptr;
    }
    const auto it = holders->second.find(server);
    const bool isKept = it != holders->second.end() && m_timers.now() - it->second.usedAt < PART_LIFETIME;
    return isKept ? &it->second : nullptr;
}

std::int64_t PromptMemory::leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Time readBefore) const
{
    // A part is of use only behind all parts before it; whoever keeps a later one keeps those too.
    std::int64_t kept = 0;
    std::int64_t before = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        before += parts[index].tokens;
        const Kept *part = find(server, parts[index].id);
        if (part != nullptr && part->readAt <= readBefore) {
            kept = before;
        }
    }
    return kept;
}

bool PromptMemory::hasPart(const core::BackendServerId &server, const std::string &part) const
{
    return find(server, part) != nullptr;
}

std::vector<core::BackendServerId> PromptMemory::holders(const std::vector<PromptPart> &parts) const
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
        if (holder.second.readAt <= m_timers.now()) {
            all.push_back(holder.first);
        }
    }
    return all;
}

} // namespace snipeferry::gateway
