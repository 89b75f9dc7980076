#pragma once

#include "answerstream.h"
#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/node/messages.h"
#include "snipeferry/operations/operationregistry.h"
#include "snipeferry/routing/router.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace snipeferry::node {

/** Processing stage of a request. */
enum class RequestStage {
    AwaitingTokens,
    AwaitingOperation,
    Queued,
    /** Sent to a backend server of this data centre. */
    Dispatched,
    /** Sent to an instance of another data centre. */
    Forwarded,
};

/** Settings of a request's service and route, copied from the configuration. */
struct RequestRules
{
    bool isModelEngine = false;
    bool isIdempotent = false;
    /** The route can be called without an API key. */
    bool isOpen = false;
    /** Rate-limit tokens that are reserved for the request; the request is charged at most this many. */
    core::Tokens cost = 1;
    absl::Duration deadline;
    /** How long the request may stay queued to keep a minute's token use below the peak. */
    absl::Duration holdLimit;
    std::string routeName;
};

/** A request that this instance has accepted and not finished yet. */
struct OpenRequest
{
    CallerRequest request;
    /** The instance that forwarded the request; empty if the caller sent it to this instance. */
    core::InstanceId origin;
    core::CustomerId customer;
    RequestRules rules;
    core::VersionId version;

    RequestStage stage = RequestStage::AwaitingTokens;
    /** For a request forwarded to this instance: time until the deadline, measured when the origin forwarded the request. */
    absl::Duration timeLeft = absl::InfiniteDuration();
    absl::Time arrived;
    /** When the first byte of the answer is due. */
    absl::Time deadline;
    /** When the current attempt was sent. */
    absl::Time dispatched;
    /** When data of the answer was last received. */
    absl::Time lastProgress;
    /** When the request times out: at the deadline; after the answer has begun, when no data has been received for too long. */
    absl::Time timeoutAt;
    /** Number of the current attempt, counted from 1; 0 before the first attempt. */
    int attempt = 0;
    routing::RouteChoice choice;
    /** Backend servers that have failed this request. */
    std::vector<core::BackendServerId> excludedServers;
    /** Instances that have refused or failed this request. */
    std::vector<core::InstanceId> excludedInstances;

    /** Whether rate-limit tokens are reserved for the request. */
    bool holdsTokens = false;
    /** Expected tokens that are reserved for the request in the peak ledger. */
    core::Tokens peakReservation = 0;
    /** Whether the operation registry has granted this request the right to run the operation. */
    bool holdsOperation = false;
    /** A byte of the request may have been sent to a backend server. */
    bool mayHaveRun = false;
    /** The caller has disconnected. The attempt of an operation continues nevertheless. */
    bool isDetached = false;
    /** Status and headers of the answer have been received. */
    bool hasHead = false;
    /** Whether the stream has been resumed on another backend server; a stream is resumed at most once. */
    bool hasResumed = false;
    int status = 0;
    std::vector<Header> answerHeaders;
    AnswerStream answer;
    /** Number of answer chunks sent to or received from another instance. */
    std::uint64_t pieces = 0;
    /** Tokens used, as reported by the instance that ran the forwarded request. */
    std::optional<core::Tokens> remoteTokens;

    /** Whether another instance forwarded the request to this one. */
    bool isForwarded() const
    {
        return !origin.isEmpty();
    }

    bool isRunning() const
    {
        return stage == RequestStage::Dispatched || stage == RequestStage::Forwarded;
    }

    /** Whether the request must run at most once under its idempotency key or operation number. */
    bool isOperation() const
    {
        return !rules.isIdempotent && (!request.idempotencyKey.empty() || !request.operationNumber.empty());
    }
};

} // namespace snipeferry::node
