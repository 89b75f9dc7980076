#include "snipeferry/gateway/clearancelog.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

ClearanceLog::ClearanceLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

absl::Time ClearanceLog::last(const PartKey &key) const
{
    const auto newer = m_newer.find(key);
    if (newer != m_newer.end()) {
        return newer->second;
    }
    const auto older = m_older.find(key);
    return older == m_older.end() ? absl::InfinitePast() : older->second;
}

void ClearanceLog::note(const PartKey &key, absl::Time at)
{
    if (m_newer.size() >= m_capacity && !m_newer.contains(key)) {
        m_older = std::exchange(m_newer, {});
    }
    const absl::Time known = last(key);
    m_newer[key] = std::max(known, at);
}

} // namespace snipeferry::gateway
