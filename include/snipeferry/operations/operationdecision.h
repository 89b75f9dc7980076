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
        /** This instance may run it once, now. */
        Run,
        /** It ran before; the caller gets the stored answer. */
        Replay,
        /** It must not run on this instance; refusal says why. */
        Refuse,
    };

    core::RequestId request;
    Verdict verdict = Verdict::Refuse;
    std::optional<StoredAnswer> answer;
    std::optional<core::Error> refusal;
};

/** How the run of an operation ended. */
enum class RunOutcome {
    /** No byte was sent to a backend server. */
    NotRun,
    /** It may have run; no complete answer was received. */
    Unknown,
    /** A complete answer was received. */
    Answered,
};

/** @brief Returns the decision to run a request. */
OperationDecision runDecision(const core::RequestId &request);

/** @brief Returns the decision to send the stored answer. */
OperationDecision replayDecision(const core::RequestId &request, StoredAnswer answer);

/** @brief Returns the decision to refuse a request. */
OperationDecision refuseDecision(const core::RequestId &request, core::Error refusal);

} // namespace snipeferry::operations
