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

/** How far a request has come. */
enum class RequestStage {
    AwaitingTokens,
    AwaitingOperation,
    Queued,
    /** Sent to a backend server of this data centre. */
    Dispatched,
    /** Sent to an instance of another data centre. */
    Forwarded,
};

/** What the configuration says of a request's service and path. */
struct RequestRules
{
    bool isModelEngine = false;
    bool isIdempotent = false;
    bool isOpen = false;
    core::Tokens cost = 1;
    absl::Duration deadline;
    absl::Duration holdLimit;
    std::string routeName;
};

/** One request that this instance has not finished. */
struct OpenRequest
{
    CallerRequest request;
    /** Empty when the caller asked this instance; otherwise the instance that forwarded it. */
    core::InstanceId origin;
    core::CustomerId customer;
    RequestRules rules;
    core::VersionId version;

    RequestStage stage = RequestStage::AwaitingTokens;
    /** Of a forwarded request: time left when it was sent. */
    absl::Duration timeLeft = absl::InfiniteDuration();
    absl::Time arrived;
    absl::Time deadline;
    absl::Time dispatched;
    /** When a piece of the answer last came. */
    absl::Time lastProgress;
    /** When the request is looked at again: its deadline, or later the end of the permitted silence in its answer. */
    absl::Time alarm;
    int attempt = 0;
    routing::RouteChoice choice;
    std::vector<core::BackendServerId> excluded;
    std::vector<core::InstanceId> excludedInstances;

    /** Tokens are reserved at the limit book. */
    bool holdsTokens = false;
    /** Expected tokens noted at the peak ledger. */
    core::Tokens peakReservation = 0;
    /** The right to run was granted by the operation registry. */
    bool holdsOperation = false;
    /** A byte may have left for a backend server. */
    bool mayHaveRun = false;
    /** The caller has gone; the run of an operation still goes on. */
    bool isDetached = false;
    bool hasHead = false;
    bool hasResumed = false;
    int status = 0;
    std::vector<Header> answerHeaders;
    AnswerStream answer;
    /** Pieces sent to or received from another instance. */
    std::uint64_t pieces = 0;
    /** Tokens that the instance which ran it has counted. */
    std::optional<core::Tokens> remoteTokens;

    bool isForwarded() const
    {
        return !origin.isEmpty();
    }

    bool isRunning() const
    {
        return stage == RequestStage::Dispatched || stage == RequestStage::Forwarded;
    }

    bool isOperation() const
    {
        return !rules.isIdempotent && (!request.idempotencyKey.empty() || !request.operationNumber.empty());
    }
};

} // namespace snipeferry::node
