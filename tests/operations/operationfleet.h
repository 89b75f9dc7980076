#pragma once

#include "snipeferry/operations/operationregistry.h"
#include "support/history/operationchecker.h"
#include "support/storefake.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::testing {

/** What happens to an instance's calls to the platform. */
enum class PlatformMode {
    Up,
    /** Calls fail before they are sent. */
    Down,
    /** Calls are lost before they reach the platform. */
    Silent,
    /** Calls take effect, but their replies are lost. */
    RepliesLost,
    /** Calls take effect after they have timed out at the instance. */
    LateEffect,
};

/** How the simulated run of a call ends, if the call is granted a run. */
enum class RunResult {
    Answered,
    /** The instance gives up before it sends any byte. */
    NotDispatched,
    /** The request is lost before it reaches the backend server. */
    RequestLost,
    /** The backend server runs the request, but its answer is lost. */
    ResponseLost,
    /** The instance crashes right after it dispatches the request. */
    CrashAfterDispatch,
};

/** A call that the simulation sent, and the decision of the instance's OperationRegistry. */
struct OperationCall
{
    /** Idempotency key or operation number. */
    std::string key;
    std::size_t nodeIndex = 0;
    RunResult simulatedResult = RunResult::Answered;
    absl::Duration pauseBeforeDispatch;
    std::optional<operations::OperationDecision> decision;
};

/** Simulates several instances with an OperationRegistry each, the platform, and a backend server whose effects are recorded, in virtual time. */
class OperationFleet
{
public:
    struct Node
    {
        membership::InstanceDescription self;
        std::unique_ptr<core::VirtualTimerService> timers;
        std::unique_ptr<messages::Outbox> outbox;
        std::unique_ptr<operations::OperationRegistry> registry;
        PlatformMode platform = PlatformMode::Up;
        absl::Time frozenUntil = absl::InfinitePast();
        /** Time that passed while the instance was frozen, and that its timers have not been told yet. */
        absl::Duration pausedTime = absl::ZeroDuration();
    };

    OperationFleet(std::uint64_t seed, std::size_t nodeCount);

    void run(absl::Duration duration);

    /** @brief Sends a call with an idempotency key to an instance. @return index of the call in calls */
    std::size_t call(std::size_t nodeIndex, const std::string &key, const std::string &body, RunResult simulatedResult, absl::Duration pauseBeforeDispatch);

    /** @brief Sends a call with an issued operation number to an instance. @return index of the call in calls */
    std::size_t callNumber(
        std::size_t nodeIndex, const std::string &operationNumber, const std::string &body, RunResult simulatedResult, absl::Duration pauseBeforeDispatch);

    std::string issueNumber(std::size_t nodeIndex);
    void restart(std::size_t nodeIndex);
    void freeze(std::size_t nodeIndex, absl::Duration duration);
    std::optional<std::string> violation() const;
    std::mt19937_64 &random();

    std::vector<Node> nodes;
    std::vector<OperationCall> calls;
    std::vector<history::Effect> effects;
    std::vector<history::OperationAnswer> answers;
    StoreFake store;

private:
    using Task = std::function<void()>;

    void start(std::size_t nodeIndex);
    std::size_t begin(
        std::size_t nodeIndex, node::CallerRequest request, const std::string &key, RunResult simulatedResult, absl::Duration pauseBeforeDispatch);
    void handleDecision(std::size_t nodeIndex, const operations::OperationDecision &decision);
    void dispatch(std::size_t nodeIndex, const core::RequestId &request);
    void finish(std::size_t nodeIndex, const core::RequestId &request, operations::RunOutcome outcome, std::optional<operations::StoredAnswer> answer);
    void performActions(std::size_t nodeIndex);
    void callPlatform(std::size_t nodeIndex, const platform::Call &call);
    void scheduleAtNode(std::size_t nodeIndex, absl::Duration delay, Task task);
    void runAtNode(std::size_t nodeIndex, core::Incarnation incarnation, const Task &task);
    void resumeTimers(Node &node);

    std::mt19937_64 m_random;
    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::multimap<absl::Time, Task> m_tasks;
};

} // namespace snipeferry::testing
