#pragma once

#include "snipeferry/configuration/plan.h"
#include "snipeferry/platform/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeferry::configuration {

/** Result of a confirmation. */
struct ConfirmResult
{
    enum class Outcome {
        /** The plan was accepted: its target is the configuration of its revision. */
        Accepted,
        /** Another plan with the same base was accepted; this plan had no effect and cannot be accepted later. */
        Refused,
        /** The platform could not be reached, and this run of the procedure changed nothing. */
        Unavailable,
        /** A reply was lost, so it is unknown whether the plan was accepted. Confirming the same plan again determines it. */
        Unclear,
    };

    Outcome outcome = Outcome::Unclear;
    /** The plan's revision if it was accepted, otherwise the latest known revision. */
    core::Revision revision = 0;
    std::string message;
};

/** @brief Returns the stable name of an outcome: accepted, refused, unavailable or unclear. */
const char *confirmOutcomeName(ConfirmResult::Outcome outcome);

/**
 * Confirms a plan by a compare-and-swap of the manifest that the plan was made from.
 *
 * This is a state machine that performs no I/O itself. Its user sends the calls that nextCall() returns, waits for retryDelay() before
 * each, and passes each reply to handle(). Confirming the same plan again, even from another process, is safe: a plan is accepted
 * at most once.
 */
class ConfirmProcedure
{
public:
    explicit ConfirmProcedure(Plan plan);

    /** @brief Returns the call to send next, or nothing when the procedure has ended. */
    std::optional<platform::Call> nextCall();

    /** @brief Returns the time to wait before the next call; zero unless the previous call failed. */
    absl::Duration retryDelay() const;

    /** @brief Processes the reply to the last call. */
    void handle(const platform::Reply &reply);

    /** @brief Set when the procedure has ended. */
    const std::optional<ConfirmResult> &result() const;

private:
    enum class Step {
        ReadBase,
        StageChunks,
        Commit,
        RemoveStaged,
        Ended,
    };

    platform::Call callFor(Step step);
    void handleBase(const platform::Reply &reply);
    void handleStagedBatch(const platform::Reply &reply);
    void handleCommit(const platform::Reply &reply);
    void handleFailure();
    void prepareTransactions(const Manifest &base);
    bool wasAccepted(const Manifest &manifest) const;
    void decideFromManifest(const platform::Reply &reply);
    void end(ConfirmResult::Outcome outcome, core::Revision revision, std::string message);
    void refuse(core::Revision revision);

    Plan m_plan;
    Step m_step = Step::ReadBase;
    platform::CallId m_lastCallId = 0;
    int m_failureCount = 0;
    bool m_isCommitReplyLost = false;
    /** Transactions that write the chunks, and the number of those that have succeeded. */
    std::vector<platform::Transaction> m_batches;
    std::size_t m_writtenBatchCount = 0;
    platform::Transaction m_commit;
    std::optional<ConfirmResult> m_result;
};

/**
 * @brief Reads the accepted configuration as the base of a plan.
 *
 * This is a state machine like ConfirmProcedure. It reads the manifest first, then all chunks.
 */
class ReadBaseProcedure
{
public:
    std::optional<platform::Call> nextCall();

    /** @brief Returns the time to wait before the next call; zero unless a call failed. */
    absl::Duration retryDelay() const;

    void handle(const platform::Reply &reply);

    /** @brief Set when the procedure has ended: the base, or a PlatformUnavailable or ConfigurationInvalid error. */
    const std::optional<core::Expected<PlanBase>> &result() const;

private:
    void handleManifest(const platform::Reply &reply);
    void handleChunks(const platform::Reply &reply);

    platform::CallId m_lastCallId = 0;
    int m_failureCount = 0;
    std::optional<Manifest> m_manifest;
    std::int64_t m_modRevision = 0;
    std::optional<core::Expected<PlanBase>> m_result;
};

} // namespace snipeferry::configuration
