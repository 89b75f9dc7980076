#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/operations/operationdecision.h"
#include "snipeferry/operations/operationrecord.h"
#include "snipeferry/operations/operationsettings.h"

#include <list>
#include <random>
#include <string>
#include <unordered_map>

/**
 * Operation numbers that this instance issued. A call that carries such a number runs on this instance or not at all.
 */
namespace snipeferry::operations {

/**
 * Stores in memory the operation numbers that this instance issued, and the outcomes of their runs.
 *
 * A call is refused if its operation number is not stored. Such a number was issued by another instance or by an earlier
 * incarnation of this one, or was removed because it expired or because too many were stored.
 */
class IssuedNumbers
{
public:
    IssuedNumbers(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers);

    /** @brief Issues an operation number that only this customer can use. */
    std::string issue(const core::CustomerId &customer);

    /** @brief Decides whether a call with an operation number runs, gets the stored answer or is refused. */
    OperationDecision begin(const node::CallerRequest &request, const core::CustomerId &customer);

    /** @brief Stores the outcome of a run that begin() granted, so that repeated calls get it. */
    void finish(const std::string &operationNumber, RunOutcome outcome, std::optional<StoredAnswer> answer);

    /** @brief Returns how many operation numbers are stored. */
    std::size_t size() const;

private:
    enum class Phase {
        Issued,
        Running,
        Finished,
    };

    struct Entry
    {
        core::CustomerId customer;
        Phase phase = Phase::Issued;
        /** Digest of the request that was last granted a run. */
        std::string requestDigest;
        /** Outcome of the run; Claimed while there is none. */
        OperationState outcomeState = OperationState::Claimed;
        std::optional<StoredAnswer> answer;
        /** When the number may be removed, unless its call is running. */
        absl::Time expiresAt;
        std::list<std::string>::iterator orderPosition;
    };

    core::Error unknownNumberError(const std::string &operationNumber) const;
    void storeAnswerIfFits(Entry &entry, std::optional<StoredAnswer> answer);
    void removeExpired();
    void removeEntry(std::unordered_map<std::string, Entry>::iterator it);

    OperationSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    std::uint64_t m_issuedCount = 0;
    std::size_t m_storedAnswerBytes = 0;
    std::unordered_map<std::string, Entry> m_entries;
    /** Operation numbers in the order of issue. */
    std::list<std::string> m_issueOrder;
    core::Subscription m_sweepTimer;
};

} // namespace snipeferry::operations
