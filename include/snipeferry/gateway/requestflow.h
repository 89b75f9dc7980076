#pragma once

#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/eventstream.h"
#include "snipeferry/gateway/fleetview.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/ratelimiter.h"
#include "snipeferry/gateway/repeatbudget.h"
#include "snipeferry/gateway/rolloutguard.h"
#include "snipeferry/gateway/routetable.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

struct FlowSettings
{
    /** A withdrawn key must not work for longer than this after the withdrawal was confirmed. */
    absl::Duration keyWithdrawalTime = absl::Seconds(5);
    /** Part of the latency objective that a backend server here may take before other regions are asked. */
    double spillShare = 0.35;
    /** Part of the latency objective that may go by before a request's own prompt is read; beyond it the request is refused. */
    double refuseShare = 1.0;
    std::uint64_t seed = 1;
};

/** The parts of the instance that requests pass through. */
struct FlowParts
{
    core::TimerService &timers;
    BackendTable &backends;
    FleetView &fleet;
    RateLimiter &allowances;
    RepeatBudget &repeats;
    RolloutGuard &rollouts;
    const HeaderCodec &headers;
    RunTransport &runs;
    FleetLinks &links;
    Journal &journal;
};

/**
 * Leads each caller's request from arrival to the last byte of its answer.
 *
 * One request has at most one run at a time. It is refused at once when nothing can serve it in time; it is sent again only
 * where its earlier run certainly did not happen, or may be repeated.
 */
class RequestFlow : public RunEvents
{
public:
    RequestFlow(FlowSettings settings, FlowParts parts);
    ~RequestFlow() override;

    /** @brief Takes over a deployment version. */
    void configure(std::shared_ptr<const RouteTable> routes);

    /** @brief Notes when the store, or a peer, last confirmed that the deployment is the newest. */
    void confirmDeployment(absl::Time at);

    /** @brief Takes a request. @return its number */
    Number arrived(HttpRequest request, std::shared_ptr<AnswerSink> sink);

    /** @brief The caller has closed its connection. */
    void callerLeft(Number request);

    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

    /** @brief Answers of requests that were forwarded to other instances. */
    void handle(const core::InstanceId &from, const ForwardHead &message);
    void handle(const core::InstanceId &from, const ForwardData &message);
    void handle(const core::InstanceId &from, const ForwardEnd &message);
    void handle(const core::InstanceId &from, const ForwardFailed &message);
    void linkDown(const core::InstanceId &peer);

    /** @brief Leaves: new requests are served for a short while, and then only what no other instance of the region could serve. */
    void beginDrain(absl::Time stopAt);

    std::size_t openCount() const;
    bool ownsRun(Number run) const;

private:
    /** Time to come back when the reason passes within a moment. */
    static constexpr absl::Duration SOON = absl::Milliseconds(300);

    struct Open
    {
        Number number = 0;
        CallerRequest request;
        Route route;
        core::ServiceId service;
        core::CustomerId customer;
        std::vector<core::RegionId> customerHomes;
        int priority = 5;
        double cost = 0;
        bool holdsTokens = false;
        /** Ends the wait for tokens of other instances. */
        core::Subscription tokenTimer;
        int tokenWaits = 0;
        std::shared_ptr<AnswerSink> sink;
        absl::Time arrivedAt;
        absl::Time deadline;

        /** 0 while nothing runs. */
        Number run = 0;
        core::BackendServerId server;
        core::InstanceId instance;
        absl::Time runStartedAt;
        absl::Time lastDataAt;
        core::VersionId version;
        std::int64_t unreadTokens = 0;
        bool isAnswering = false;
        /** Time to the first piece of the answer. */
        absl::Duration firstAnswer;
        std::uint64_t pieces = 0;
        /** Runs started, and those that the backend servers may have begun. */
        int sends = 0;
        int runs = 0;
        bool mayHaveRun = false;
        std::vector<core::BackendServerId> excludedServers;
        std::vector<core::InstanceId> excludedInstances;

        HttpHead head;
        bool hasHead = false;
        bool hasBegun = false;
        std::string body;
        EventStream events;
    };

    using OpenPointer = std::unique_ptr<Open>;

    // Admission: requestadmission.cpp
    core::Expected<void> admit(Open &open);
    /** Admits and places a request; one that waits for tokens of other instances is admitted again a little later. */
    void admitOrWait(Open &open);
    core::Expected<void> checkDrain(const Open &open) const;
    core::Expected<void> identify(Open &open) const;
    bool isDeploymentFresh() const;

    // Where a request runs, and runs again: requestplacement.cpp
    std::vector<core::RegionId> homesOf(const Open &open) const;
    bool mayRunHere(const Open &open) const;
    bool mayRepeat(const Open &open) const;
    core::Expected<void> place(Open &open);
    void startHere(Open &open, const ServerChoice &choice);
    void startThere(Open &open, const RemoteChoice &choice, const VersionChoice &versions);
    void endRun(Open &open, RunEnd end);
    void stopTransport(const Open &open);
    void cancelRun(Open &open);
    void tryAgain(Number number, bool mayHaveRun, RunEnd end, const std::string &reason);
    bool resume(Open &open);

    // Answers: requestanswer.cpp
    void pass(Open &open, const std::string &data);
    void complete(Open &open);
    void fail(Open &open, const core::Error &error);
    void close(Number number);
    void sweep();
    void checkSilence(Open &open, absl::Time now);
    Open *byRun(Number run);
    core::LogEvent event(const std::string &name, const Open &open) const;

    FlowSettings m_settings;
    FlowParts m_parts;
    std::shared_ptr<const RouteTable> m_routes;
    absl::Time m_confirmedAt = absl::InfinitePast();
    absl::Time m_drainFrom = absl::InfiniteFuture();
    absl::Time m_stopAt = absl::InfiniteFuture();
    absl::flat_hash_map<Number, OpenPointer> m_open;
    absl::flat_hash_map<Number, Number> m_requestOfRun;
    Number m_lastNumber = 0;
    std::mt19937_64 m_random;
    core::Subscription m_sweep;
};

/** @brief A run number that no other run of this process has. */
Number nextRunNumber();

} // namespace snipeferry::gateway
