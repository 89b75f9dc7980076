#include "snipeferry/operations/issuednumbers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace snipeferry::operations {

namespace {

constexpr absl::Duration SWEEP_INTERVAL = absl::Seconds(10);

std::size_t bodySize(const std::optional<StoredAnswer> &answer)
{
    return answer ? answer->body.size() : 0;
}

} // namespace

IssuedNumbers::IssuedNumbers(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers)
    : m_settings(settings),
      m_self(std::move(self)),
      m_timers(timers),
      m_random(seed ^ m_self.incarnation)
{
    m_sweepTimer = m_timers.every(SWEEP_INTERVAL, [this] { removeExpired(); });
}

std::string IssuedNumbers::issue(const core::CustomerId &customer)
{
    std::string operationNumber = absl::StrCat(m_self.id.value(), ".", m_self.incarnation, ".", ++m_issuedCount, ".", absl::Hex(m_random(), absl::kZeroPad16));
    m_issueOrder.push_back(operationNumber);
    Entry entry;
    entry.customer = customer;
    entry.expiresAt = m_timers.now() + m_settings.unusedNumberLifetime;
    entry.orderPosition = std::prev(m_issueOrder.end());
    m_entries.emplace(operationNumber, std::move(entry));
    removeExpired();
    return operationNumber;
}

OperationDecision IssuedNumbers::begin(const node::CallerRequest &request, const core::CustomerId &customer)
{
    const auto it = m_entries.find(request.operationNumber);
    const bool isKnown = it != m_entries.end() && it->second.customer == customer;
    if (!isKnown) {
        return refuseDecision(request.id, unknownNumberError(request.operationNumber));
    }
    Entry &entry = it->second;
    const std::string digest = requestDigest(request);
    if (entry.phase == Phase::Issued && m_timers.now() >= entry.expiresAt) {
        return refuseDecision(request.id, unknownNumberError(request.operationNumber));
    }
    if (entry.phase == Phase::Issued) {
        entry.phase = Phase::Running;
        entry.requestDigest = digest;
        return runDecision(request.id);
    }
    if (entry.requestDigest != digest) {
        return refuseDecision(request.id, core::makeError(core::ErrorKind::OperationKeyConflict, "the number was already used for a different request"));
    }
    if (entry.answer) {
        return replayDecision(request.id, *entry.answer);
    }
    return refuseDecision(request.id, makeRefusal(entry.outcomeState));
}

void IssuedNumbers::finish(const std::string &operationNumber, RunOutcome outcome, std::optional<StoredAnswer> answer)
{
    const auto it = m_entries.find(operationNumber);
    if (it == m_entries.end() || it->second.phase != Phase::Running) {
        return;
    }
    Entry &entry = it->second;
    if (outcome == RunOutcome::NotRun) {
        entry.phase = Phase::Issued;
        entry.expiresAt = m_timers.now() + m_settings.unusedNumberLifetime;
        return;
    }
    entry.phase = Phase::Finished;
    entry.expiresAt = m_timers.now() + m_settings.finishedNumberLifetime;
    entry.outcomeState = outcome == RunOutcome::Answered ? OperationState::Ran : OperationState::Unknown;
    if (outcome == RunOutcome::Answered) {
        storeAnswerIfFits(entry, std::move(answer));
    }
}

std::size_t IssuedNumbers::size() const
{
    return m_entries.size();
}

void IssuedNumbers::storeAnswerIfFits(Entry &entry, std::optional<StoredAnswer> answer)
{
    const bool canStore = answer && isStorable(*answer, m_settings.maxAnswerBytes) && m_storedAnswerBytes + bodySize(answer) <= m_settings.maxTotalAnswerBytes;
    if (!canStore) {
        return;
    }
    m_storedAnswerBytes += bodySize(answer);
    entry.answer = std::move(answer);
    entry.outcomeState = OperationState::Answered;
}

core::Error IssuedNumbers::unknownNumberError(const std::string &operationNumber) const
{
    const std::vector<std::string> fields = absl::StrSplit(operationNumber, '.');
    const bool isFromOtherInstance = fields.size() >= 4 && fields.front() != m_self.id.value();
    return core::makeError(core::ErrorKind::OperationOutcomeUnknown,
        isFromOtherInstance ? "another instance issued the number; calls with it run only there"
                            : "this instance no longer stores the number; a call with it will not run");
}

void IssuedNumbers::removeExpired()
{
    const absl::Time now = m_timers.now();
    for (auto orderPosition = m_issueOrder.begin(); orderPosition != m_issueOrder.end();) {
        const auto it = m_entries.find(*orderPosition);
        ++orderPosition;
        const bool isOverLimit = m_entries.size() > m_settings.maxNumbers;
        if (it->second.phase != Phase::Running && (now >= it->second.expiresAt || isOverLimit)) {
            removeEntry(it);
        } else if (!isOverLimit && now < it->second.expiresAt) {
            // The numbers are in the order of issue, so most of those after this one expire later. A later sweep removes those that already expired.
            break;
        }
    }
}

void IssuedNumbers::removeEntry(std::unordered_map<std::string, Entry>::iterator it)
{
    m_storedAnswerBytes -= bodySize(it->second.answer);
    m_issueOrder.erase(it->second.orderPosition);
    m_entries.erase(it);
}

} // namespace snipeferry::operations
