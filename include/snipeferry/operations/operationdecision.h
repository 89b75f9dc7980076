#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/ids.h"
#include "snipeferry/operations/storedanswer.h"

#include <optional>

namespace snipeferry::operations {

/** What to do with a request that carries an idempotency key or an operation number. */
struct OperationDecision
{
    enum class Verdict {
        /** This instance may run the request now, and only once. */
        Run,
        /** The operation has already run; the caller gets its stored answer. */
        Replay,
        /** This instance must not run the request; the field `refusal` holds the error for the caller. */
        Refuse,
    };

    core::RequestId request;
    Verdict verdict = Verdict::Refuse;
    /** Set if the verdict is Replay. */
    std::optional<StoredAnswer> answer;
    /** Set if the verdict is Refuse. */
    std::optional<core::Error> refusal;
};

/** How the run of an operation ended. */
enum class RunOutcome {
    /** No byte was sent to a backend server. */
    NotRun,
    /** The backend server may have run the operation, but no complete answer was received. */
    Unknown,
    /** A complete answer was received from the backend server. */
    Answered,
};

/** @brief Returns the decision to run a request. */
OperationDecision runDecision(const core::RequestId &request);

/** @brief Returns the decision to send the caller the stored answer. */
OperationDecision replayDecision(const core::RequestId &request, StoredAnswer answer);

/** @brief Returns the decision to refuse a request. */
OperationDecision refuseDecision(const core::RequestId &request, core::Error refusal);

} // namespace snipeferry::operations
