#include "snipeferry/operations/operationregistry.h"

#include "snipeferry/operations/issuednumbers.h"
#include "snipeferry/operations/keyclaims.h"

#include <unordered_map>
#include <utility>

namespace snipeferry::operations {

class OperationRegistry::Impl
{
public:
    Impl(membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox, OperationSettings settings)
        : m_numbers(settings, self, seed, timers),
          m_claims(settings, std::move(self), seed, timers, outbox)
    {
        m_claims.decided().subscribe([this](const OperationDecision &decision) { m_decided.emit(decision); });
    }

    void begin(const node::CallerRequest &request, const core::CustomerId &customer)
    {
        if (request.operationNumber.empty()) {
            m_claims.begin(request, customer);
            return;
        }
        const OperationDecision decision = m_numbers.begin(request, customer);
        if (decision.verdict == OperationDecision::Verdict::Run) {
            m_runningNumbers[request.id] = request.operationNumber;
        }
        m_decided.emit(decision);
    }

    void finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer)
    {
        const auto it = m_runningNumbers.find(request);
        if (it == m_runningNumbers.end()) {
            m_claims.finish(request, outcome, std::move(answer));
            return;
        }
        m_numbers.finish(it->second, outcome, std::move(answer));
        m_runningNumbers.erase(it);
    }

    IssuedNumbers m_numbers;
    KeyClaims m_claims;
    core::Signal<OperationDecision> m_decided;

private:
    std::unordered_map<core::RequestId, std::string> m_runningNumbers;
};

OperationRegistry::OperationRegistry(
    membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox, OperationSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(self), seed, timers, outbox, settings))
{
}

OperationRegistry::~OperationRegistry() = default;

std::string OperationRegistry::issueNumber(const core::CustomerId &customer)
{
    return m_impl->m_numbers.issue(customer);
}

void OperationRegistry::begin(const node::CallerRequest &request, const core::CustomerId &customer)
{
    m_impl->begin(request, customer);
}

void OperationRegistry::finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer)
{
    m_impl->finish(request, outcome, std::move(answer));
}

core::Signal<OperationDecision> &OperationRegistry::decided()
{
    return m_impl->m_decided;
}

void OperationRegistry::handle(const messages::PlatformReplied &event)
{
    m_impl->m_claims.handle(event);
}

} // namespace snipeferry::operations
