#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"
#include "snipeferry/rollout/messages.h"

#include <memory>
#include <string>
#include <vector>

/**
 * Gradual rollouts of new backend server versions.
 */
namespace snipeferry::rollout {

/** Outcome of one request, from which the quality of the version is estimated. */
struct Observation
{
    core::ServiceId service;
    core::VersionId version;
    std::string route;
    bool hasFailed = false;
    /** Time to the first byte. */
    absl::Duration latency;
};

/** State of a rollout as known to this instance. */
struct RolloutStatus
{
    core::RolloutId id;
    Stage stage = Stage::Trial;
    int sharePermille = 0;
    std::string reason;
};

/**
 * Chooses the version that serves each request, and completes each rollout or rolls it back.
 *
 * Every instance limits the new version's share of its own requests and can roll back immediately. The share is raised by
 * one instance at a time, with a compare-and-swap on the rollout's record on the platform. A rollout that is not done by
 * its deadline is rolled back.
 */
class RolloutBook
{
public:
    RolloutBook(membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox);
    ~RolloutBook();

    void configure(const configuration::Configuration &configuration);
    void setMembers(const std::vector<membership::InstanceDescription> &members);

    /** @brief Chooses the version that serves the next request of a service, and counts the request towards the share. */
    core::VersionId chooseVersion(const core::ServiceId &service, const std::string &route);

    /** @brief Whether a version may serve new requests now; checked again when a queued request is dispatched. */
    bool isVersionAllowed(const core::ServiceId &service, const core::VersionId &version) const;

    /** @brief Adds the outcome of a request to the statistics of its version. */
    void observe(const Observation &observation);

    std::vector<RolloutStatus> statuses() const;

    /** @brief Emitted when the state of a rollout changes on this instance. */
    core::Signal<RolloutStatus> &changed();

    void handle(const messages::PeerReceived &event);
    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::rollout
