#pragma once

#include "snipeferry/admission/requestqueue.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/ratelimiter.h"
#include "snipeferry/membership/memberlist.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <string>
#include <vector>

/**
 * The complete decision logic of one instance.
 */
namespace snipeferry::node {

struct NodeSettings
{
    membership::InstanceDescription self;
    membership::MembershipSettings membership;
    limits::LimitSettings limits;
    admission::QueueSettings queue;
    /** Seed of the instance's random number generators. */
    std::uint64_t seed = 0;
    /** Longest time that a request waits for rate-limit tokens from other instances. */
    absl::Duration limitPatience = absl::Milliseconds(400);
    /** Time without data in an answer after which the attempt counts as failed. */
    absl::Duration streamIdleTimeout = absl::Seconds(10);
    /** How long a draining instance still accepts requests, because some callers don't know yet that the instance is draining. */
    absl::Duration drainGrace = absl::Seconds(3);
};

/** Status of one instance for operators. */
struct NodeStatus
{
    membership::InstanceDescription self;
    core::Revision revision = 0;
    bool isReady = false;
    std::size_t openRequests = 0;
    std::size_t queuedRequests = 0;
    std::vector<membership::InstanceDescription> members;

    SNIPEFERRY_VALUE(NodeStatus, self, revision, isReady, openRequests, queuedRequests, members)
};

/** One instance in the ranking that GET /v1/entries returns. */
struct RankedEntry
{
    core::InstanceId instance;
    std::string address;
    core::DataCentreId dataCentre;

    SNIPEFERRY_VALUE(RankedEntry, instance, address, dataCentre)
};

/**
 * The decision logic of one instance. It uses no sockets, threads or system clocks.
 *
 * The calling code passes events to handle() and executes the returned actions. Timers fire through the timer service;
 * after they have fired, the calling code fetches the resulting actions with takeActions(). Not thread-safe.
 */
class Node
{
public:
    Node(NodeSettings settings, core::TimerService &timers);
    ~Node();

    /**
     * @brief Processes one event.
     * @return the actions to execute, in this order
     */
    std::vector<messages::Action> handle(const messages::Event &event);

    /** @brief Returns and clears the actions that timers have caused since the last call. */
    std::vector<messages::Action> takeActions();

    /** @brief Whether the instance has a configuration and is not draining, and so can serve callers. */
    bool isReady() const;

    /** @brief Whether draining is complete: the grace period is over and every request is finished. */
    bool isDrained() const;

    NodeStatus status() const;

    /** @brief Instances that a caller with this API key should connect to, best first. */
    core::Expected<std::vector<RankedEntry>> entries(const std::string &keyDigest) const;

    /** @brief Models that a caller with this API key may use. */
    core::Expected<std::vector<std::string>> models(const std::string &keyDigest) const;

    /** @brief Issues a new operation number to a caller with this API key. */
    core::Expected<std::string> issueOperationNumber(const std::string &keyDigest);

    /** @brief The current configuration, or nullptr if the instance has none yet. */
    std::shared_ptr<const configuration::Configuration> configuration() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::node
