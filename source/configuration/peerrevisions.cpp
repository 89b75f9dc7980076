#include "peerrevisions.h"

#include <algorithm>

namespace snipeferry::configuration {

void PeerRevisions::linkUp(const core::InstanceId &peer)
{
    m_peers[peer] = Peer();
}

void PeerRevisions::linkDown(const core::InstanceId &peer)
{
    m_peers.erase(peer);
}

void PeerRevisions::setRevision(const core::InstanceId &peer, core::Revision revision)
{
    Peer &entry = m_peers[peer];
    entry.revision = std::max(entry.revision.value_or(0), revision);
}

std::optional<core::InstanceId> PeerRevisions::selectSource(core::Revision above, absl::Time now)
{
    auto best = m_peers.end();
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        if (it->second.revision.value_or(0) <= above) {
            continue;
        }
        // Prefer the peer that was asked least recently: one that was asked recently has not sent the revision.
        const bool isPreferred = best == m_peers.end() || it->second.lastRequestedAt < best->second.lastRequestedAt
            || (it->second.lastRequestedAt == best->second.lastRequestedAt && *it->second.revision > *best->second.revision);
        if (isPreferred) {
            best = it;
        }
    }
    if (best == m_peers.end()) {
        return std::nullopt;
    }
    best->second.lastRequestedAt = now;
    return best->first;
}

bool PeerRevisions::hasRevisionAbove(core::Revision revision) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) { return entry.second.revision.value_or(0) > revision; });
}

std::vector<core::InstanceId> PeerRevisions::linked() const
{
    std::vector<core::InstanceId> peers;
    for (const auto &[peer, entry] : m_peers) {
        peers.push_back(peer);
    }
    return peers;
}

bool PeerRevisions::haveAllReported() const
{
    return !m_peers.empty() && std::all_of(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.revision.has_value(); });
}

} // namespace snipeferry::configuration
