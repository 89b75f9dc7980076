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
 * Operation numbers that this instance issued. A call under such a number runs on this instance or not at all.
 */
namespace snipeferry::operations {

/**
 * Stores the issued numbers in memory.
 *
 * Calls under a number that is not stored are refused. Such a number was issued by another incarnation, or has expired.
 */
class IssuedNumbers
{
public:
    IssuedNumbers(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers);

    /** @brief Issues a number that only this customer can use. */
    std::string issue(const core::CustomerId &customer);

    /** @brief Decides whether a call under a number runs, gets the stored answer or is refused. */
    OperationDecision begin(const node::CallerRequest &request, const core::CustomerId &customer);

    /** @brief Records the outcome of a run that begin() granted. */
    void finish(const std::string &number, RunOutcome outcome, std::optional<StoredAnswer> answer);

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
        std::string requestDigest;
        OperationState outcomeState = OperationState::Claimed;
        std::optional<StoredAnswer> answer;
        absl::Time expires;
        std::list<std::string>::iterator orderPosition;
    };

    core::Error unknownNumber(const std::string &number) const;
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
    /** Numbers in the order of issue. */
    std::list<std::string> m_order;
    core::Subscription m_sweepTimer;
};

} // namespace snipeferry::operations
