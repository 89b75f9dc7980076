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

void OperationFleet::start(std::size_t index)
{
    Node &node = nodes[index];
    ++node.self.incarnation;
    node.timers = std::make_unique<core::VirtualTimerService>(m_now);
    node.outbox = std::make_unique<messages::Outbox>();
    node.registry = std::make_unique<operations::OperationRegistry>(node.self, m_random(), *node.timers, *node.outbox);
    node.frozenUntil = absl::InfinitePast();
    node.pausedTime = absl::ZeroDuration();
    node.registry->decided().subscribe([this, index](const operations::OperationDecision &decision) { handleDecision(index, decision); });
}

void OperationFleet::run(absl::Duration time)
{
    const absl::Time end = m_now + time;
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

std::size_t OperationFleet::call(std::size_t node, const std::string &key, const std::string &body, RunResult result, absl::Duration pauseBeforeDispatch)
{
    node::CallerRequest request;
    request.idempotencyKey = key;
    request.body = body;
    return begin(node, request, key, result, pauseBeforeDispatch);
}

std::size_t OperationFleet::callNumber(
    std::size_t node, const std::string &number, const std::string &body, RunResult result, absl::Duration pauseBeforeDispatch)
{
    node::CallerRequest request;
    request.operationNumber = number;
    request.body = body;
    return begin(node, request, number, result, pauseBeforeDispatch);
}

std::size_t OperationFleet::begin(std::size_t node, node::CallerRequest request, const std::string &key, RunResult result, absl::Duration pauseBeforeDispatch)
{
    const std::size_t number = calls.size();
    calls.push_back({key, node, result, pauseBeforeDispatch, std::nullopt});
    request.id = core::RequestId(std::to_string(number));
    scheduleAtNode(node, absl::ZeroDuration(), [this, node, request] { nodes[node].registry->begin(request, CUSTOMER); });
    return number;
}

std::string OperationFleet::issueNumber(std::size_t node)
{
    return nodes[node].registry->issueNumber(CUSTOMER);
}

void OperationFleet::handleDecision(std::size_t index, const operations::OperationDecision &decision)
{
    OperationCall &call = calls[static_cast<std::size_t>(std::stoul(decision.request.value()))];
    call.decision = decision;
    if (decision.verdict == operations::OperationDecision::Verdict::Run) {
        scheduleAtNode(index, call.pauseBeforeDispatch, [this, index, request = decision.request] { dispatch(index, request); });
        return;
    }
    const core::RanState ranState = decision.refusal ? decision.refusal->ranState : core::RanState::Ran;
    answers.push_back({call.key, decision.request.value(), ranState});
}

void OperationFleet::dispatch(std::size_t index, const core::RequestId &request)
{
    const OperationCall call = calls[static_cast<std::size_t>(std::stoul(request.value()))];
    if (call.result == RunResult::NotDispatched) {
        answers.push_back({call.key, request.value(), core::RanState::NotRun});
        finish(index, request, operations::RunOutcome::NotRun, std::nullopt);
        return;
    }
    if (call.result != RunResult::RequestLost) {
        // The backend server runs the request even if the instance crashes.
        m_tasks.emplace(m_now + absl::Milliseconds(20), [this, key = call.key, request] { effects.push_back({key, request.value()}); });
    }
    if (call.result == RunResult::CrashAfterDispatch) {
        m_tasks.emplace(m_now, [this, index] { restart(index); });
        return;
    }
    const bool isAnswered = call.result == RunResult::Answered;
    scheduleAtNode(index, absl::Milliseconds(40), [this, index, request, call, isAnswered] {
        answers.push_back({call.key, request.value(), isAnswered ? core::RanState::Ran : core::RanState::Unknown});
        const operations::StoredAnswer answer{200, {}, "done by " + request.value()};
        finish(index, request, isAnswered ? operations::RunOutcome::Answered : operations::RunOutcome::Unknown,
            isAnswered ? std::make_optional(answer) : std::nullopt);
    });
}

void OperationFleet::finish(std::size_t index, const core::RequestId &request, operations::RunOutcome outcome, std::optional<operations::StoredAnswer> answer)
{
    nodes[index].registry->finish(request, outcome, std::move(answer));
    performActions(index);
}

void OperationFleet::performActions(std::size_t index)
{
    for (const messages::Action &action : nodes[index].outbox->take()) {
        if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
            callPlatform(index, *call);
        }
    }
}

void OperationFleet::callPlatform(std::size_t index, const platform::Call &call)
{
    const PlatformMode mode = nodes[index].platform;
    const absl::Duration requestDelay = absl::Milliseconds(2 + m_random() % 20);
    const absl::Duration responseDelay = absl::Milliseconds(2 + m_random() % 20);
    platform::Reply failedReply;
    failedReply.id = call.id;
    failedReply.outcome = mode == PlatformMode::Down ? platform::Outcome::NotSent : platform::Outcome::Unknown;
    const auto deliverReply = [this, index](const platform::Reply &answer) {
        nodes[index].registry->handle(messages::PlatformReplied{answer});
    };
    if (mode != PlatformMode::Up) {
        scheduleAtNode(index, mode == PlatformMode::Down ? absl::ZeroDuration() : call.timeout, [deliverReply, failedReply] { deliverReply(failedReply); });
    }
    if (mode == PlatformMode::AnswersLost || mode == PlatformMode::LateEffect) {
        const absl::Duration effectDelay = mode == PlatformMode::LateEffect ? call.timeout + absl::Milliseconds(m_random() % 3000) : requestDelay;
        m_tasks.emplace(m_now + effectDelay, [this, call] { store.apply(call, m_now); });
    }
    if (mode == PlatformMode::Up) {
        const core::Incarnation incarnation = nodes[index].self.incarnation;
        m_tasks.emplace(m_now + requestDelay, [this, index, incarnation, call, deliverReply, responseDelay] {
            const platform::Reply answer = store.apply(call, m_now);
            m_tasks.emplace(m_now + responseDelay,
                [this, index, incarnation, deliverReply, answer] { runAtNode(index, incarnation, [deliverReply, answer] { deliverReply(answer); }); });
        });
    }
}

void OperationFleet::scheduleAtNode(std::size_t index, absl::Duration delay, Task task)
{
    const core::Incarnation incarnation = nodes[index].self.incarnation;
    m_tasks.emplace(m_now + delay, [this, index, incarnation, task = std::move(task)] { runAtNode(index, incarnation, task); });
}

void OperationFleet::runAtNode(std::size_t index, core::Incarnation incarnation, const Task &task)
{
    Node &node = nodes[index];
    if (node.self.incarnation != incarnation) {
        return;
    }
    if (m_now < node.frozenUntil) {
        // A paused process continues its work when it resumes.
        m_tasks.emplace(node.frozenUntil, [this, index, incarnation, task] { runAtNode(index, incarnation, task); });
        return;
    }
    resumeTimers(node);
    task();
    performActions(index);
}

void OperationFleet::resumeTimers(Node &node)
{
    node.timers->freeze(std::exchange(node.pausedTime, absl::ZeroDuration()));
}

void OperationFleet::restart(std::size_t node)
{
    nodes[node].registry.reset();
    start(node);
}

void OperationFleet::freeze(std::size_t node, absl::Duration time)
{
    nodes[node].frozenUntil = std::max(nodes[node].frozenUntil, m_now + time);
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
