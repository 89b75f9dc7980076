#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Answers to plain calls are kept whole up to this size. */
constexpr std::size_t MAX_KEPT_BODY = 8U << 20U;

} // namespace

void RequestFlow::runHead(Number run, const HttpHead &head)
{
    Open *open = byRun(run);
    if (open == nullptr) {
        return;
    }
    const RunReport report = m_parts.headers.decodeAnswer(head);
    if (!open->server.isEmpty()) {
        m_parts.backends.reportLoad(open->server, report.running, report.waiting);
    }
    open->lastDataAt = m_parts.timers.now();

    // Not run: another place may take it.
    if (report.isNotRun || report.isWrongServer) {
        stopTransport(*open);
        tryAgain(open->number, false, RunEnd::Refused, report.isWrongServer ? "wrong_server" : "refused_by_server");
        return;
    }
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !report.hasReceipt) {
        stopTransport(*open);
        tryAgain(open->number, true, RunEnd::Unreachable, "answer_without_receipt");
        return;
    }
    const bool isServerFailure = head.status >= 500 || head.status == 429 || head.status == 408;
    const bool mayTryAgain = mayRepeat(*open) && open->runs + 1 < open->route.maxAttempts && !open->hasBegun;
    if (isServerFailure && mayTryAgain && m_parts.repeats.tryTake(open->service)) {
        stopTransport(*open);
        endRun(*open, RunEnd::ServerError);
        ++open->runs;
        open->mayHaveRun = true;
        m_parts.journal.count("requests_repeated_total", "server_error", 1);
        m_parts.journal.log(event("run_repeated", *open).with("server", open->server.value()).with("status", absl::StrCat(head.status)));
        // Another place first; the same one again is better than none.
        (open->server.isEmpty() ? open->excludedInstances.push_back(open->instance) : open->excludedServers.push_back(open->server));
        core::Expected<void> placed = place(*open);
        if (!placed) {
            open->excludedServers.clear();
            open->excludedInstances.clear();
            placed = place(*open);
        }
        if (!placed) {
            fail(*open, core::makeError(core::ErrorKind::BackendFailed, "The backend server failed and no other is free."));
        }
        return;
    }

    // Refusal statuses without the statement that nothing ran would promise too much.
    if (head.status == 429 || head.status == 503 || head.status == 408) {
        stopTransport(*open);
        endRun(*open, RunEnd::ServerError);
        open->mayHaveRun = true;
        fail(*open, core::makeError(core::ErrorKind::BackendFailed, "The backend server failed and did not say that nothing ran."));
        return;
    }
    if (open->hasBegun && !isSuccess) {
        stopTransport(*open);
        tryAgain(open->number, true, RunEnd::ServerError, "resumed_run_failed");
        return;
    }
    if (!open->hasBegun) {
        open->head = head;
        open->hasHead = true;
        open->body.clear();
    }
}

void RequestFlow::runData(Number run, const std::string &data)
{
    Open *open = byRun(run);
    if (open == nullptr) {
        return;
    }
    const absl::Time now = m_parts.timers.now();
    open->lastDataAt = now;
    if (!open->isAnswering) {
        open->isAnswering = true;
        open->firstAnswer = now - open->runStartedAt;
        m_parts.journal.observe("first_answer_seconds", open->route.name, now - open->arrivedAt);
        if (!open->server.isEmpty()) {
            m_parts.backends.answered(open->server, open->priority, open->unreadTokens, now - open->runStartedAt);
        }
    }
    pass(*open, data);
}

void RequestFlow::pass(Open &open, const std::string &data)
{
    const bool isStream = open.route.isStream && open.head.status == 200;
    if (!isStream) {
        open.body += data;
        if (open.body.size() > MAX_KEPT_BODY) {
            cancelRun(open);
            open.mayHaveRun = true;
            fail(open, core::makeError(core::ErrorKind::BackendFailed, "The answer is too large."));
        }
        return;
    }
    std::string events = open.events.feed(data);
    if (events.empty()) {
        return;
    }
    if (!open.hasBegun) {
        open.hasBegun = true;
        open.sink->begin(open.head);
    }
    open.sink->data(std::move(events));
}

void RequestFlow::runEnd(Number run)
{
    Open *open = byRun(run);
    if (open == nullptr) {
        return;
    }
    if (!open->isAnswering && !open->server.isEmpty()) {
        open->isAnswering = true;
        open->firstAnswer = m_parts.timers.now() - open->runStartedAt;
        m_parts.backends.answered(open->server, open->priority, open->unreadTokens, open->firstAnswer);
    }
    endRun(*open, open->head.status >= 500 ? RunEnd::ServerError : RunEnd::Success);
    complete(*open);
}

void RequestFlow::complete(Open &open)
{
    const bool isStream = open.route.isStream && open.head.status == 200;
    if (!isStream) {
        open.sink->answer(open.head, std::move(open.body));
    } else {
        if (!open.hasBegun) {
            open.sink->begin(open.head);
        }
        if (!open.events.partial().empty()) {
            open.sink->data(open.events.partial());
        }
        open.sink->finish();
    }
    m_parts.journal.log(event("request_answered", open)
                            .with("status", absl::StrCat(open.head.status))
                            .with("customer", open.customer.value())
                            .with("sends", absl::StrCat(open.sends))
                            .with("first_ms", absl::StrCat(absl::ToInt64Milliseconds(open.runStartedAt + open.firstAnswer - open.arrivedAt)))
                            .with("total_ms", absl::StrCat(absl::ToInt64Milliseconds(m_parts.timers.now() - open.arrivedAt))));
    m_parts.journal.count("requests_answered_total", open.route.name, 1);
    m_parts.journal.observe("request_seconds", open.route.name, m_parts.timers.now() - open.arrivedAt);
    close(open.number);
}

void RequestFlow::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    Open *open = byRun(run);
    if (open != nullptr) {
        tryAgain(open->number, mayHaveRun, RunEnd::Unreachable, reason);
    }
}

void RequestFlow::fail(Open &open, const core::Error &error)
{
    // What certainly did not run costs the customer nothing.
    if (open.holdsTokens && !open.mayHaveRun) {
        m_parts.allowances.refund(open.customer, open.cost);
    }
    core::LogEvent line = event("request_refused", open);
    line.with("kind", core::errorAnswer(error.kind).name).with("customer", open.customer.value()).with("message", error.message);
    line.with("sends", absl::StrCat(open.sends));
    if (m_confirmedAt > absl::InfinitePast()) {
        line.with("deployment_age_ms", absl::StrCat(absl::ToInt64Milliseconds(m_parts.timers.now() - m_confirmedAt)));
    }
    if (error.retryAfter.has_value()) {
        line.with("retry_after_ms", absl::StrCat(absl::ToInt64Milliseconds(*error.retryAfter)));
    }
    m_parts.journal.log(line);
    m_parts.journal.count("requests_refused_total", core::errorAnswer(error.kind).name, 1);
    if (open.hasBegun) {
        open.sink->breakOff();
    } else {
        open.sink->refuse(error);
    }
    close(open.number);
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardHead &message)
{
    Open *open = byRun(message.number);
    if (open != nullptr && open->instance == from) {
        runHead(message.number, message.head);
    }
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardData &message)
{
    Open *open = byRun(message.number);
    if (open == nullptr || open->instance != from) {
        return;
    }
    if (message.sequence != open->pieces) {
        m_parts.links.send(open->instance, ForwardCancel{open->run});
        tryAgain(open->number, true, RunEnd::Unreachable, "forward_piece_lost");
        return;
    }
    ++open->pieces;
    runData(message.number, message.data);
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardEnd &message)
{
    Open *open = byRun(message.number);
    if (open == nullptr || open->instance != from) {
        return;
    }
    if (message.pieces != open->pieces || !open->hasHead) {
        tryAgain(open->number, true, RunEnd::Unreachable, "forward_piece_lost");
        return;
    }
    runEnd(message.number);
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardFailed &message)
{
    Open *open = byRun(message.number);
    if (open != nullptr && open->instance == from) {
        tryAgain(open->number, message.mayHaveRun, RunEnd::Unreachable, message.reason);
    }
}

void RequestFlow::linkDown(const core::InstanceId &peer)
{
    std::vector<Number> lost;
    for (const auto &entry : m_open) {
        if (entry.second->run != 0 && entry.second->server.isEmpty() && entry.second->instance == peer) {
            lost.push_back(entry.first);
        }
    }
    for (const Number number : lost) {
        tryAgain(number, true, RunEnd::Unreachable, "link_lost");
    }
}

} // namespace snipeferry::gateway
