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

/** The other parts of the instance that requests pass through. */
struct RequestParts
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
 * Leads every request from arrival to its last byte: admission, queue, dispatch or forwarding, retries, answer.
 *
 * A request that came from a caller may be forwarded once; one that was forwarded runs in this data centre or is refused.
 */
class RequestFlow
{
public:
    RequestFlow(const NodeSettings &settings, RequestParts parts);

    void handle(const messages::RequestArrived &event);
    void handle(const messages::CallerLeft &event);
    void handle(const messages::BackendHead &event);
    void handle(const messages::BackendChunk &event);
    void handle(const messages::BackendEnd &event);
    void handle(const messages::BackendFailure &event);
    void handle(const messages::PeerLinkChanged &event);

    /** @brief Takes a message about a forwarded request; messages of other parts are ignored. */
    void handle(const messages::PeerReceived &event);

    /** @brief Ends requests that the new configuration forbids. */
    void configurationChanged();

    /** @brief Dispatches what can run now. */
    void pump();

    /** @brief Refuses new requests from now on. */
    void close();

    std::size_t openCount() const;
    std::size_t queuedCount() const;

private:
    using Requests = absl::flat_hash_map<core::RequestId, std::unique_ptr<OpenRequest>>;

    // Admission: requestadmission.cpp
    core::Expected<void> identify(OpenRequest &open) const;
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
    /** What the peak ledger advises for a request at its entry. */
    peak::PeakAdvice peakAdvice(const OpenRequest &open) const;
    bool canRun(const admission::QueuedRequest &queued);
    void enqueueAgain(OpenRequest &open);
    void dispatch(OpenRequest &open);
    void notePause();
    /** Whether the process was paused lately and does not know yet what changed meanwhile. */
    bool isCatchingUp();
    void sendToBackendServer(OpenRequest &open);
    void sendToInstance(OpenRequest &open);
    bool retry(OpenRequest &open, const core::Error &error, bool mayHaveRun);
    bool resume(OpenRequest &open);
    void stopRun(OpenRequest &open);
    void setAlarm(OpenRequest &open, absl::Time time);
    void checkAlarms();
    void alarmDue(OpenRequest &open);
    /** When an answer that has begun and stays silent is given up. */
    absl::Time silenceEnd(const OpenRequest &open) const;

    // Answers: requestanswer.cpp
    void answerHead(OpenRequest &open, int status, std::vector<Header> headers);
    void answerData(OpenRequest &open, const std::string &data);
    void answerEnd(OpenRequest &open);
    void fail(OpenRequest &open, core::Error error);
    void runFailed(OpenRequest &open, const core::Error &error, bool mayHaveRun);
    void release(OpenRequest &open, bool hasFailed);
    void observe(const OpenRequest &open, bool hasFailed);
    void finishOperation(OpenRequest &open, bool isWhole);
    core::Tokens tokensUsed(const OpenRequest &open) const;
    void erase(const core::RequestId &id);
    OpenRequest *findAttempt(const core::RequestId &id, int attempt);
    OpenRequest *findForward(const core::RequestId &id, const core::InstanceId &from);
    void log(const OpenRequest &open, core::LogEvent event);

    void handleAnswer(const core::InstanceId &from, const ForwardHead &message);
    void handleAnswer(const core::InstanceId &from, const ForwardChunk &message);
    void handleAnswer(const core::InstanceId &from, const ForwardEnd &message);
    void handleAnswer(const core::InstanceId &from, const ForwardFailed &message);
    void handleAnswer(const core::InstanceId &from, const ForwardCancel &message);

    const NodeSettings m_settings;
    RequestParts m_parts;
    admission::RequestQueue m_queue;
    RetryBudget m_retries;
    Requests m_open;
    std::set<std::pair<absl::Time, core::RequestId>> m_alarms;
    /** Forwarded requests taken lately, so that a repeated message runs nothing twice. */
    absl::flat_hash_map<core::RequestId, absl::Time> m_recentForwards;
    /** When a timer or an event was last seen; a long gap means that the process was paused. */
    absl::Time m_lastSeen;
    /** When the process last went on after a pause. */
    absl::Time m_wokeAt = absl::InfinitePast();
    /** When the configuration was last asked for after a pause. */
    absl::Time m_askedAt = absl::InfinitePast();
    bool m_isCatchingUp = false;
    bool m_isClosed = false;
    bool m_isPumping = false;
    core::Subscription m_tick;
};

} // namespace snipeferry::node
