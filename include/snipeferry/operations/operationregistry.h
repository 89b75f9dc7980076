#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"
#include "snipeferry/operations/operationdecision.h"
#include "snipeferry/operations/operationsettings.h"

#include <memory>
#include <string>
#include <vector>

/**
 * Ensures that a call that must not be repeated runs at most once.
 */
namespace snipeferry::operations {

/**
 * Decides which of several calls with the same idempotency key or operation number runs.
 *
 * A call with an operation number runs only on the instance that issued the number. For a call with an idempotency key, which
 * the caller chose, the instance claims the key in the platform's store before it dispatches the call.
 */
class OperationRegistry
{
public:
    OperationRegistry(
        membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox, OperationSettings settings = {});
    ~OperationRegistry();

    /** @brief Issues an operation number that is valid only for this incarnation of the instance. */
    std::string issueNumber(const core::CustomerId &customer);

    /**
     * @brief Asks whether a call may run; decided() emits the decision, possibly before this returns.
     * @param request the call; its idempotencyKey or operationNumber is set
     * @param customer the customer who sent the call; different customers may use the same idempotency key for different calls
     */
    void begin(const node::CallerRequest &request, const core::CustomerId &customer);

    /** @brief Stores the outcome of a run that was granted to a request, so that repeated calls get it. */
    void finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer);

    core::Signal<OperationDecision> &decided();

    void handle(const messages::PlatformReplied &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::operations
