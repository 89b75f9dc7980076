#pragma once

#include "openrequest.h"
#include "retrybudget.h"
#include "snipeferry/admission/requestqueue.h"
#include "snipeferry/configuration/configurationstore.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/ratelimiter.h"
#include "snipeferry/membership/memberlist.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"
#include "snipeferry/node/node.h"
#include "snipeferry/operations/operationregistry.h"
#include "snipeferry/peak/peakledger.h"
#include "snipeferry/rollout/rolloutbook.h"
#include "snipeferry/routing/router.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace snipeferry::node {

/** The components of the instance that request processing uses. */
struct RequestComponents
{
    configuration::ConfigurationStore &configurations;
    limits::RateLimiter &limits;
    operations::OperationRegistry &operations;
    rollout::RolloutBook &rollouts;
    peak::PeakLedger &peaks;
    routing::Router &router;
    core::TimerService &timers;
    messages::Outbox &outbox;
};

/**
 * Processes every request from its arrival to the last byte of the answer: admission, queueing, dispatch or forwarding,
 * retries and the answer.
 *
 * A request received from a caller can be forwarded to an instance of another data centre. A request that was forwarded to
 * this instance runs on a backend server of this data centre or is refused.
 */
class RequestFlow
{
public:
    RequestFlow(const NodeSettings &settings, RequestComponents components);

    void handle(const messages::RequestArrived &event);
    void handle(const messages::CallerLeft &event);
    void handle(const messages::BackendHead &event);
    void handle(const messages::BackendChunk &event);
    void handle(const messages::BackendEnd &event);
    void handle(const messages::BackendFailure &event);
    void handle(const messages::PeerLinkChanged &event);

    /** @brief Processes a message about a forwarded request; ignores all other messages. */
    void handle(const messages::PeerReceived &event);

    /** @brief Ends the requests that the new configuration no longer allows. */
    void configurationChanged();

    /** @brief Dispatches the queued requests that can run now. */
    void dispatchQueued();

    /** @brief Refuses new requests from now on. */
    void close();

    std::size_t openCount() const;
    std::size_t queuedCount() const;

private:
    using Requests = absl::flat_hash_map<core::RequestId, std::unique_ptr<OpenRequest>>;

    // Admission: requestadmission.cpp
    core::Expected<void> authenticate(OpenRequest &open) const;
    core::Expected<void> applyRules(OpenRequest &open, const configuration::Configuration &configuration) const;
    core::Expected<void> checkStillAllowed(const OpenRequest &open) const;
    std::vector<core::RegionId> allowedRegions(const OpenRequest &open) const;
    void receive(std::unique_ptr<OpenRequest> open);
    void reservationDecided(const limits::ReservationDecision &decision);
    void operationDecided(const operations::OperationDecision &decision);
    void claimOperation(OpenRequest &open);
    void replay(OpenRequest &open, const operations::StoredAnswer &answer);
    void enqueue(OpenRequest &open);
    void handleForward(const core::InstanceId &from, const ForwardRequest &message);

    // Dispatch: requestdispatch.cpp
    routing::RouteQuery routeQuery(const OpenRequest &open) const;
    /** Queries the peak ledger whether to serve, hold or move the request. A forwarded request gets no advice. */
    peak::PeakAdvice peakAdvice(const OpenRequest &open) const;
    bool canRun(const admission::QueuedRequest &queued);
    void requeue(OpenRequest &open);
    void dispatch(OpenRequest &open);
    /** Detects a pause of the process by a long time since the last call. */
    void detectPause();
    /** Whether the process was paused and has yet to confirm that its configuration is current; nothing is dispatched until then. */
    bool isCatchingUp();
    void sendToBackendServer(OpenRequest &open);
    void sendToInstance(OpenRequest &open);
    /** Dispatches the request to another destination if that is safe and allowed; returns whether it did. */
    bool retry(OpenRequest &open, const core::Error &error, bool mayHaveRun);
    /** Continues an interrupted stream on another backend server if possible; returns whether it did. */
    bool resume(OpenRequest &open);
    /** Cancels the current attempt, unless the request is an operation: operations continue to run. */
    void cancelAttempt(OpenRequest &open);
    void setTimeoutAt(OpenRequest &open, absl::Time time);
    void expireTimeouts();
    void handleTimeout(OpenRequest &open);
    /** When an answer that has begun times out, unless more data comes before. */
    absl::Time idleTimeoutAt(const OpenRequest &open) const;

    // Answers: requestanswer.cpp
    void sendAnswerHead(OpenRequest &open, int status, std::vector<Header> headers);
    void sendAnswerData(OpenRequest &open, const std::string &data);
    void finishAnswer(OpenRequest &open);
    void fail(OpenRequest &open, core::Error error);
    void attemptFailed(OpenRequest &open, const core::Error &error, bool mayHaveRun);
    /** Releases reserved tokens and slots, and settles the tokens used. */
    void release(OpenRequest &open, bool hasFailed);
    void observe(const OpenRequest &open, bool hasFailed);
    void finishOperation(OpenRequest &open, bool isComplete);
    core::Tokens tokensUsed(const OpenRequest &open) const;
    void erase(const core::RequestId &id);
    OpenRequest *findAttempt(const core::RequestId &id, int attempt);
    OpenRequest *findForward(const core::RequestId &id, const core::InstanceId &from);
    void log(const OpenRequest &open, core::LogEvent event);

    void handleForwardMessage(const core::InstanceId &from, const ForwardHead &message);
    void handleForwardMessage(const core::InstanceId &from, const ForwardChunk &message);
    void handleForwardMessage(const core::InstanceId &from, const ForwardEnd &message);
    void handleForwardMessage(const core::InstanceId &from, const ForwardFailed &message);
    void handleForwardMessage(const core::InstanceId &from, const ForwardCancel &message);

    const NodeSettings m_settings;
    RequestComponents m_components;
    admission::RequestQueue m_queue;
    RetryBudget m_retryBudget;
    Requests m_openRequests;
    std::set<std::pair<absl::Time, core::RequestId>> m_timeouts;
    /** Recently received forwarded requests with their expiry, so that a repeated message does not run a request twice. */
    absl::flat_hash_map<core::RequestId, absl::Time> m_recentForwards;
    /** When a timer or an event was last processed; a long gap means that the process was paused. */
    absl::Time m_lastActiveAt;
    /** When the last pause was detected. */
    absl::Time m_pauseDetectedAt = absl::InfinitePast();
    /** When confirmation of the configuration was last requested after a pause. */
    absl::Time m_confirmationRequestedAt = absl::InfinitePast();
    bool m_isCatchingUp = false;
    bool m_isClosed = false;
    bool m_isDispatchingQueued = false;
    core::Subscription m_tickTimer;
};

} // namespace snipeferry::node
