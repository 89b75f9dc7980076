#include "snipeferry/gateway/backendtable.h"

#include <algorithm>
#include <utility>

// Work that instances have dispatched to backend servers, as they tell each other.
namespace snipeferry::gateway {

namespace {

/** Time for which a report of another instance is used. Reports are sent several times a second. */
constexpr absl::Duration PEER_REPORT_LIFETIME = absl::Seconds(1);

} // namespace

void BackendTable::setPeerWork(const core::InstanceId &instance, const std::vector<ServerWork> &work)
{
    m_peerReports[instance] = PeerReport{work, m_timers.now()};
    m_isPeerWorkOutdated = true;
}

void BackendTable::refreshPeerWork()
{
    if (!m_isPeerWorkOutdated) {
        return;
    }
    m_isPeerWorkOutdated = false;
    const absl::Time now = m_timers.now();
    for (auto &entry : m_servers) {
        entry.second.peerRunning = 0;
        entry.second.peerUnread.fill(0);
    }
    for (auto it = m_peerReports.begin(); it != m_peerReports.end();) {
        if (now - it->second.receivedAt > PEER_REPORT_LIFETIME) {
            m_peerReports.erase(it++);
            continue;
        }
        for (const ServerWork &work : it->second.work) {
            ServerState *target = findState(work.server);
            if (target == nullptr) {
                continue;
            }
            target->peerRunning += work.running;
            for (std::size_t level = 0; level < URGENCY_LEVELS && level < work.unreadTokens.size(); ++level) {
                target->peerUnread[level] += work.unreadTokens[level];
            }
        }
        ++it;
    }
    if (m_isMemoryAware) {
        for (const auto &entry : m_servers) {
            updateMemoryUse(entry.second);
        }
    }
}

std::vector<ServerWork> BackendTable::ownWork() const
{
    std::vector<ServerWork> all;
    for (const auto &entry : m_servers) {
        const ServerState &state = entry.second;
        if (state.running == 0) {
            continue;
        }
        ServerWork work;
        work.server = entry.first;
        work.running = state.running;
        work.unreadTokens.assign(state.ownUnread.begin(), state.ownUnread.end());
        while (!work.unreadTokens.empty() && work.unreadTokens.back() == 0) {
            work.unreadTokens.pop_back();
        }
        all.push_back(std::move(work));
    }
    return all;
}

std::vector<ServerWork> BackendTable::regionWork()
{
    absl::flat_hash_map<core::BackendServerId, ServerWork> sums;
    const auto add = [&sums](const ServerWork &work) {
        ServerWork &sum = sums[work.server];
        sum.server = work.server;
        sum.running += work.running;
        for (std::size_t level = 0; level < std::min(sum.unreadTokens.size(), work.unreadTokens.size()); ++level) {
            sum.unreadTokens[level] += work.unreadTokens[level];
        }
    };
    for (const ServerWork &work : ownWork()) {
        add(work);
    }
    const absl::Time now = m_timers.now();
    for (const auto &report : m_peerReports) {
        if (now - report.second.receivedAt <= PEER_REPORT_LIFETIME) {
            for (const ServerWork &work : report.second.work) {
                add(work);
            }
        }
    }
    std::vector<ServerWork> all;
    for (auto &entry : sums) {
        all.push_back(std::move(entry.second));
    }
    return all;
}

void BackendTable::setRegionWork(const std::vector<ServerWork> &sums, const std::vector<ServerWork> &ownReported)
{
    std::vector<ServerWork> others = sums;
    for (ServerWork &work : others) {
        const auto own = std::find_if(ownReported.begin(), ownReported.end(), [&work](const ServerWork &reported) { return reported.server == work.server; });
        if (own == ownReported.end()) {
            continue;
        }
        work.running = std::max(0, work.running - own->running);
        for (std::size_t level = 0; level < std::min(work.unreadTokens.size(), own->unreadTokens.size()); ++level) {
            work.unreadTokens[level] = std::max<std::int64_t>(0, work.unreadTokens[level] - own->unreadTokens[level]);
        }
    }
    // The sums contain all that single instances have reported before, for example while the region was small.
    m_peerReports.clear();
    setPeerWork(core::InstanceId(), others);
}

} // namespace snipeferry::gateway
