#include "operationfleet.h"

#include <algorithm>

namespace snipeferry::testing {

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(5);
const core::CustomerId CUSTOMER("bar-do-sol");

} // namespace

OperationFleet::OperationFleet(std::uint64_t seed, std::size_t nodeCount)
    : m_random(seed)
{
    nodes.resize(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        nodes[i].self.id = core::InstanceId("recife-" + std::to_string(i));
        start(i);
    }
}

void OperationFleet::start(std::size_t nodeIndex)
{
    Node &node = nodes[nodeIndex];
    ++node.self.incarnation;
    node.timers = std::make_unique<core::VirtualTimerService>(m_now);
    node.outbox = std::make_unique<messages::Outbox>();
    node.registry = std::make_unique<operations::OperationRegistry>(node.self, m_random(), *node.timers, *node.outbox);
    node.frozenUntil = absl::InfinitePast();
    node.pausedTime = absl::ZeroDuration();
    node.registry->decided().subscribe([this, nodeIndex](const operations::OperationDecision &decision) { handleDecision(nodeIndex, decision); });
}

void OperationFleet::run(absl::Duration duration)
{
    const absl::Time end = m_now + duration;
    while (m_now < end) {
        m_now += STEP;
        while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
            const Task task = m_tasks.begin()->second;
            m_tasks.erase(m_tasks.begin());
            task();
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (m_now < nodes[i].frozenUntil) {
                nodes[i].pausedTime += STEP;
                continue;
            }
            resumeTimers(nodes[i]);
            nodes[i].timers->advance(STEP);
            performActions(i);
        }
    }
}

std::size_t OperationFleet::call(
    std::size_t nodeIndex, const std::string &key, const std::string &body, RunResult simulatedResult, absl::Duration pauseBeforeDispatch)
{
    node::CallerRequest request;
    request.idempotencyKey = key;
    request.body = body;
    return begin(nodeIndex, request, key, simulatedResult, pauseBeforeDispatch);
}

std::size_t OperationFleet::callNumber(
    std::size_t nodeIndex, const std::string &operationNumber, const std::string &body, RunResult simulatedResult, absl::Duration pauseBeforeDispatch)
{
    node::CallerRequest request;
    request.operationNumber = operationNumber;
    request.body = body;
    return begin(nodeIndex, request, operationNumber, simulatedResult, pauseBeforeDispatch);
}

std::size_t OperationFleet::begin(
    std::size_t nodeIndex, node::CallerRequest request, const std::string &key, RunResult simulatedResult, absl::Duration pauseBeforeDispatch)
{
    const std::size_t callIndex = calls.size();
    calls.push_back({key, nodeIndex, simulatedResult, pauseBeforeDispatch, std::nullopt});
    request.id = core::RequestId(std::to_string(callIndex));
    scheduleAtNode(nodeIndex, absl::ZeroDuration(), [this, nodeIndex, request] { nodes[nodeIndex].registry->begin(request, CUSTOMER); });
    return callIndex;
}

std::string OperationFleet::issueNumber(std::size_t nodeIndex)
{
    return nodes[nodeIndex].registry->issueNumber(CUSTOMER);
}

void OperationFleet::handleDecision(std::size_t nodeIndex, const operations::OperationDecision &decision)
{
    OperationCall &call = calls[static_cast<std::size_t>(std::stoul(decision.request.value()))];
    call.decision = decision;
    if (decision.verdict == operations::OperationDecision::Verdict::Run) {
        scheduleAtNode(nodeIndex, call.pauseBeforeDispatch, [this, nodeIndex, request = decision.request] { dispatch(nodeIndex, request); });
        return;
    }
    const core::RanState ranState = decision.refusal ? decision.refusal->ranState : core::RanState::Ran;
    answers.push_back({call.key, decision.request.value(), ranState});
}

void OperationFleet::dispatch(std::size_t nodeIndex, const core::RequestId &request)
{
    const OperationCall call = calls[static_cast<std::size_t>(std::stoul(request.value()))];
    if (call.simulatedResult == RunResult::NotDispatched) {
        answers.push_back({call.key, request.value(), core::RanState::NotRun});
        finish(nodeIndex, request, operations::RunOutcome::NotRun, std::nullopt);
        return;
    }
    if (call.simulatedResult != RunResult::RequestLost) {
        // The backend server runs the request even if the instance crashes.
        m_tasks.emplace(m_now + absl::Milliseconds(20), [this, key = call.key, request] { effects.push_back({key, request.value()}); });
    }
    if (call.simulatedResult == RunResult::CrashAfterDispatch) {
        m_tasks.emplace(m_now, [this, nodeIndex] { restart(nodeIndex); });
        return;
    }
    const bool isAnswered = call.simulatedResult == RunResult::Answered;
    scheduleAtNode(nodeIndex, absl::Milliseconds(40), [this, nodeIndex, request, call, isAnswered] {
        answers.push_back({call.key, request.value(), isAnswered ? core::RanState::Ran : core::RanState::Unknown});
        const operations::StoredAnswer answer{200, {}, "done by " + request.value()};
        finish(nodeIndex, request, isAnswered ? operations::RunOutcome::Answered : operations::RunOutcome::Unknown,
            isAnswered ? std::make_optional(answer) : std::nullopt);
    });
}

void OperationFleet::finish(
    std::size_t nodeIndex, const core::RequestId &request, operations::RunOutcome outcome, std::optional<operations::StoredAnswer> answer)
{
    nodes[nodeIndex].registry->finish(request, outcome, std::move(answer));
    performActions(nodeIndex);
}

void OperationFleet::performActions(std::size_t nodeIndex)
{
    for (const messages::Action &action : nodes[nodeIndex].outbox->take()) {
        if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
            callPlatform(nodeIndex, *call);
        }
    }
}

void OperationFleet::callPlatform(std::size_t nodeIndex, const platform::Call &call)
{
    const PlatformMode mode = nodes[nodeIndex].platform;
    const absl::Duration requestDelay = absl::Milliseconds(2 + m_random() % 20);
    const absl::Duration responseDelay = absl::Milliseconds(2 + m_random() % 20);
    platform::Reply failedReply;
    failedReply.id = call.id;
    failedReply.outcome = mode == PlatformMode::Down ? platform::Outcome::NotSent : platform::Outcome::Unknown;
    const auto deliverReply = [this, nodeIndex](const platform::Reply &reply) {
        nodes[nodeIndex].registry->handle(messages::PlatformReplied{reply});
    };
    if (mode != PlatformMode::Up) {
        scheduleAtNode(nodeIndex, mode == PlatformMode::Down ? absl::ZeroDuration() : call.timeout, [deliverReply, failedReply] { deliverReply(failedReply); });
    }
    if (mode == PlatformMode::RepliesLost || mode == PlatformMode::LateEffect) {
        const absl::Duration effectDelay = mode == PlatformMode::LateEffect ? call.timeout + absl::Milliseconds(m_random() % 3000) : requestDelay;
        m_tasks.emplace(m_now + effectDelay, [this, call] { store.apply(call, m_now); });
    }
    if (mode == PlatformMode::Up) {
        const core::Incarnation incarnation = nodes[nodeIndex].self.incarnation;
        m_tasks.emplace(m_now + requestDelay, [this, nodeIndex, incarnation, call, deliverReply, responseDelay] {
            const platform::Reply reply = store.apply(call, m_now);
            m_tasks.emplace(m_now + responseDelay,
                [this, nodeIndex, incarnation, deliverReply, reply] { runAtNode(nodeIndex, incarnation, [deliverReply, reply] { deliverReply(reply); }); });
        });
    }
}

void OperationFleet::scheduleAtNode(std::size_t nodeIndex, absl::Duration delay, Task task)
{
    const core::Incarnation incarnation = nodes[nodeIndex].self.incarnation;
    m_tasks.emplace(m_now + delay, [this, nodeIndex, incarnation, task = std::move(task)] { runAtNode(nodeIndex, incarnation, task); });
}

void OperationFleet::runAtNode(std::size_t nodeIndex, core::Incarnation incarnation, const Task &task)
{
    Node &node = nodes[nodeIndex];
    if (node.self.incarnation != incarnation) {
        return;
    }
    if (m_now < node.frozenUntil) {
        // A paused process continues its work when it resumes.
        m_tasks.emplace(node.frozenUntil, [this, nodeIndex, incarnation, task] { runAtNode(nodeIndex, incarnation, task); });
        return;
    }
    resumeTimers(node);
    task();
    performActions(nodeIndex);
}

void OperationFleet::resumeTimers(Node &node)
{
    node.timers->freeze(std::exchange(node.pausedTime, absl::ZeroDuration()));
}

void OperationFleet::restart(std::size_t nodeIndex)
{
    nodes[nodeIndex].registry.reset();
    start(nodeIndex);
}

void OperationFleet::freeze(std::size_t nodeIndex, absl::Duration duration)
{
    nodes[nodeIndex].frozenUntil = std::max(nodes[nodeIndex].frozenUntil, m_now + duration);
}

std::optional<std::string> OperationFleet::violation() const
{
    return history::findOperationViolation(effects, answers);
}

std::mt19937_64 &OperationFleet::random()
{
    return m_random;
}

} // namespace snipeferry::testing
