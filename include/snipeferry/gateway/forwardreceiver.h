#pragma once

#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/fleetview.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/rolloutguard.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace snipeferry::gateway {

/**
 * Runs requests that instances of other regions have sent here, and passes their answers back as they come.
 *
 * It decides once: a request runs at a backend server of this region or is refused. There is no way from here to a second
 * forward, so no request can loop.
 */
class ForwardDesk : public RunEvents
{
public:
    ForwardDesk(core::TimerService &timers, BackendTable &backends, FleetView &fleet, RolloutGuard &rollouts, const HeaderCodec &headers, RunTransport &runs,
        FleetLinks &links, Journal &journal);

    void handle(const core::InstanceId &from, const ForwardRequest &message);
    void handle(const core::InstanceId &from, const ForwardCancel &message);
    void linkDown(const core::InstanceId &peer);

    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

    std::size_t openCount() const;

private:
    struct Guest
    {
        core::InstanceId origin;
        Number originNumber = 0;
        core::RequestId request;
        core::BackendServerId server;
        core::ServiceId service;
        std::string route;
        core::VersionId version;
        int status = 0;
        absl::Duration firstAnswer;
        int priority = 5;
        std::int64_t unreadTokens = 0;
        absl::Time startedAt;
        absl::Time deadline;
        bool isAnswering = false;
        std::uint64_t pieces = 0;
    };

    void refuse(const core::InstanceId &to, Number number, const core::RequestId &request, const std::string &reason);
    void end(Number run, RunEnd end);
    void noteAnswer(Guest &guest);
    void sweep();

    core::TimerService &m_timers;
    BackendTable &m_backends;
    FleetView &m_fleet;
    RolloutGuard &m_rollouts;
    const HeaderCodec &m_headers;
    RunTransport &m_runs;
    FleetLinks &m_links;
    Journal &m_journal;
    absl::flat_hash_map<Number, Guest> m_guests;
    core::Subscription m_sweep;
};

} // namespace snipeferry::gateway
