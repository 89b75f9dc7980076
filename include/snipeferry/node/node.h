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
 * All decision parts of one instance, put together.
 */
namespace snipeferry::node {

struct NodeSettings
{
    membership::InstanceDescription self;
    membership::MembershipSettings membership;
    limits::LimitSettings limits;
    admission::QueueSettings queue;
    /** Seed of every random choice. */
    std::uint64_t seed = 0;
    /** How long tokens of other instances may be waited for. */
    absl::Duration limitPatience = absl::Milliseconds(400);
    /** Silence within an answer after which its run counts as lost. */
    absl::Duration streamIdleTimeout = absl::Seconds(10);
    /** How long a draining instance still takes requests of callers that have not heard of it. */
    absl::Duration drainGrace = absl::Seconds(3);
};

/** One instance as operators see it. */
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

/** One instance of the ranking that GET /v1/entries answers. */
struct RankedEntry
{
    core::InstanceId instance;
    std::string address;
    core::DataCentreId dataCentre;

    SNIPEFERRY_VALUE(RankedEntry, instance, address, dataCentre)
};

/**
 * The decisions of one instance, without sockets, threads or clocks.
 *
 * An adapter passes events in and carries the returned actions out; timers fire through the timer service, after which
 * the adapter collects actions with takeActions(). Not thread-safe: one caller at a time.
 */
class Node
{
public:
    Node(NodeSettings settings, core::TimerService &timers);
    ~Node();

    /**
     * @brief Takes one event.
     * @return what is to be done now, in order
     */
    std::vector<messages::Action> handle(const messages::Event &event);

    /** @brief Actions that timers caused since the last call. */
    std::vector<messages::Action> takeActions();

    /** @brief Ready to serve callers: configured and not draining. */
    bool isReady() const;

    /** @brief Draining, and no request is open. */
    bool isDrained() const;

    NodeStatus status() const;

    /** @brief Instances that a caller with this key should use, best first. */
    core::Expected<std::vector<RankedEntry>> entries(const std::string &keyDigest) const;

    /** @brief Models that a caller with this key may use. */
    core::Expected<std::vector<std::string>> models(const std::string &keyDigest) const;

    /** @brief Issues an operation number for a caller with this key. */
    core::Expected<std::string> issueOperationNumber(const std::string &keyDigest);

    /** @brief Configuration in force, or nullptr. */
    std::shared_ptr<const configuration::Configuration> configuration() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::node
