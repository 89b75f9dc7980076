#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Name of the bound of one event of a stream in the log. */
constexpr const char *EVENT_BOUND = "event";
/** Lowest HTTP status of an error answer. */
constexpr int MIN_ERROR_STATUS = 400;
/** Lowest HTTP status that means a failure of the server. */
constexpr int MIN_SERVER_ERROR_STATUS = 500;

} // namespace

void RequestFlow::runHead(Number run, const HttpHead &head)
{
    OpenRequest *open = findByRun(run);
    if (open == nullptr) {
        return;
    }
    // An instance of an earlier build passes such a status on.
    if (!isAnswerStatus(head.status)) {
        stopTransport(*open);
        retryOrFail(open->number, true, RunEnd::ServerError, REASON_BAD_STATUS);
        return;
    }
    const RunReport report = m_dependencies.headers.decodeAnswer(head);
    if (!open->server.isEmpty()) {
        m_dependencies.paths.noteAnswer(open->service, open->server);
        m_dependencies.restarts.noteAnswer(open->server);
        m_dependencies.backends.noteReport(
            open->server, report, report.hasReceipt && head.status >= 200 && head.status < 300, open->runStartedAt, m_dependencies.journal);
    }
    open->lastDataAt = m_dependencies.timers.now();

    // The request was not executed, so it may be sent again.
    if (report.isNotRun || report.isWrongServer) {
        stopTransport(*open);
        retryOrFail(open->number, false, RunEnd::Refused, refusalReason(report));
        return;
    }
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !report.hasReceipt) {
        stopTransport(*open);
        retryOrFail(open->number, true, RunEnd::Unreachable, "answer_without_receipt");
        return;
    }
    const bool isServerFailure = head.status >= 500 || head.status == 429 || head.status == 408;
    const bool mayRetry = mayRepeat(*open) && open->possibleRuns + 1 < open->route.maxAttempts && !open->hasBegunAnswer;
    const bool isCallerGone = isServerFailure && mayRetry && open->sink->isCallerGone();
    if (isCallerGone || (isServerFailure && mayRetry && m_dependencies.repeats.tryTake(open->service))) {
        stopTransport(*open);
        endRun(*open, RunEnd::ServerError);
        ++open->possibleRuns;
        open->mayHaveRun = true;
        if (isCallerGone) {
            callerLeft(open->number);
            return;
        }
        m_dependencies.journal.count("requests_repeated_total", "server_error", 1);
        m_dependencies.journal.log(makeLogEvent("run_repeated", *open).with("server", open->server.value()).with("status", absl::StrCat(head.status)));
        // Prefer another backend server or instance. If there is none, permit all again, including the one that just failed.
        (open->server.isEmpty() ? open->excludedInstances.push_back(open->instance) : open->excludedServers.push_back(open->server));
        core::Expected<void> placed = place(*open);
        if (!placed) {
            open->excludedServers.clear();
            open->excludedInstances.clear();
            placed = place(*open);
        }
        if (!placed) {
            fail(*open, core::makeError(core::ErrorKind::BackendFailed, "The backend server failed, and no other can take the request."));
        }
        return;
    }

    // To a caller, these statuses mean that the request was not executed. The backend server did not state that, so they are not passed on.
    if (head.status == 429 || head.status == 503 || head.status == 408) {
        stopTransport(*open);
        endRun(*open, RunEnd::ServerError);
        open->mayHaveRun = true;
        fail(*open, core::makeError(core::ErrorKind::BackendFailed, "The backend server refused the request without stating that it was not executed."));
        return;
    }
    if (open->hasBegunAnswer && !continuesStream(*open, head)) {
        stopTransport(*open);
        retryOrFail(open->number, true, RunEnd::ServerError, "resumed_run_failed");
        return;
    }
    open->progress = AnswerProgress::Begun;
    if (!open->hasBegunAnswer) {
        open->head = head;
        open->hasHead = true;
        open->body.clear();
    }
}

bool RequestFlow::continuesStream(const OpenRequest &open, const HttpHead &head)
{
    const auto contentType = [](const HttpHead &of) {
        const auto isContentType = [](const Header &header) {
            return absl::EqualsIgnoreCase(header.name, "Content-Type");
        };
        const auto it = std::find_if(of.headers.begin(), of.headers.end(), isContentType);
        return it == of.headers.end() ? std::string() : it->value.substr(0, it->value.find(';'));
    };
    return head.status == open.head.status && absl::EqualsIgnoreCase(contentType(head), contentType(open.head));
}

void RequestFlow::runData(Number run, const std::string &data)
{
    OpenRequest *open = findByRun(run);
    if (open == nullptr) {
        return;
    }
    const absl::Time now = m_dependencies.timers.now();
    if (!open->server.isEmpty()) {
        m_dependencies.restarts.noteAnswer(open->server);
        countUsage(*open);
    }
    if (!open->isAnswering) {
        open->isAnswering = true;
        open->timeToFirstData = now - open->runStartedAt;
        m_dependencies.journal.observe("first_answer_seconds", open->route.name, now - open->arrivedAt);
        if (!open->server.isEmpty()) {
            // An error answer comes without the prompt being read.
            const serverload::RunStart start = open->head.status < MIN_ERROR_STATUS ? open->serverStart : serverload::RunStart();
            m_dependencies.backends.answered(open->server, open->priority, open->unreadTokens, now - open->runStartedAt, start);
            m_dependencies.rollouts.observeFirstData(open->service, open->version, now - open->runStartedAt, open->expectedTime);
        }
    }
    relayData(*open, data);
}

void RequestFlow::countUsage(OpenRequest &open)
{
    if (m_dependencies.usage == nullptr || open.isUsageCounted || open.server.isEmpty() || open.customer.isEmpty()) {
        return;
    }
    open.isUsageCounted = true;
    m_dependencies.usage->began(open.customer.value(), isEngineRun(open) ? m_dependencies.timers.now() : open.runStartedAt);
}

bool RequestFlow::isEngineRun(const OpenRequest &open)
{
    return open.route.isStream || !open.request.promptParts.empty() || open.request.promptTokens > 0;
}

void RequestFlow::relayData(OpenRequest &open, const std::string &data)
{
    if (!isEventStream(open)) {
        open.lastDataAt = m_dependencies.timers.now();
        open.body += data;
        countBytes(open);
        return;
    }
    const int eventsBefore = open.events.eventCount();
    std::string events = open.events.feed(data);
    if (open.events.isPartialTooLong()) {
        endOversizedAnswer(open, EVENT_BOUND, RunEnd::ServerError);
        return;
    }
    // Only whole events are progress: a stalled backend server may still send a byte now and then.
    if (open.events.eventCount() > eventsBefore) {
        open.lastDataAt = m_dependencies.timers.now();
        open.progress = AnswerProgress::Writing;
    }
    if (!events.empty()) {
        if (!open.hasBegunAnswer) {
            open.hasBegunAnswer = true;
            open.sink->begin(open.head);
        }
        // The caller may be gone by the end of this call, and the request with it.
        const Number number = open.number;
        open.sink->data(std::move(events));
        if (m_openRequests.find(number) == m_openRequests.end()) {
            return;
        }
    }
    if (countBytes(open)) {
        adjustReading(open);
    }
}

bool RequestFlow::isEventStream(const OpenRequest &open)
{
    return open.route.isStream && open.head.status == 200;
}

std::string RequestFlow::answerSource(const OpenRequest &open)
{
    return open.server.isEmpty() ? open.instance.value() : open.server.value();
}

bool RequestFlow::countBytes(OpenRequest &open)
{
    const std::size_t unsent = open.hasBegunAnswer ? open.sink->unsentBytes() : 0;
    const std::size_t bytes = open.body.size() + open.events.partial().size() + unsent;
    const std::string source = answerSource(open);
    const AnswerBound bound = m_answerMemory.update(source, open.countedBytes, bytes);
    open.countedBytes = bytes;
    if (bound == AnswerBound::None) {
        return true;
    }
    // Bytes that the caller has not taken are no fault of the backend server, from which nothing more is read until they are fewer.
    if (unsent == bytes && bound == AnswerBound::Answer && open.isPaused) {
        return true;
    }
    endOversizedAnswer(open, answerBoundName(bound), unsent < bytes ? RunEnd::ServerError : RunEnd::Cancelled);
    return false;
}

void RequestFlow::endOversizedAnswer(OpenRequest &open, const std::string &bound, RunEnd end)
{
    m_dependencies.journal.log(makeLogEvent("answer_too_large", open)
                                   .with("bound", bound)
                                   .with("server", open.server.value())
                                   .with("instance", open.instance.value())
                                   .with("bytes", absl::StrCat(open.countedBytes))
                                   .with("process_bytes", absl::StrCat(m_answerMemory.bytes())));
    m_dependencies.journal.count("answers_too_large_total", bound, 1);
    stopTransport(open);
    endRun(open, end);
    open.mayHaveRun = true;
    fail(open, core::makeError(core::ErrorKind::BackendFailed, "The answer is too large."));
}

void RequestFlow::adjustReading(OpenRequest &open)
{
    if (open.run == 0) {
        return;
    }
    const std::size_t unsent = open.sink->unsentBytes();
    const AnswerLimits &limits = m_answerMemory.limits();
    const bool shouldPause = open.isPaused ? unsent > limits.resumeBelow : unsent > limits.pauseAbove;
    if (shouldPause == open.isPaused) {
        return;
    }
    open.isPaused = shouldPause;
    // The time for which nothing was read is no silence of the backend server.
    open.lastDataAt = m_dependencies.timers.now();
    m_dependencies.journal.log(makeLogEvent(shouldPause ? "reading_paused" : "reading_resumed", open).with("unsent", absl::StrCat(unsent)));
    if (open.server.isEmpty()) {
        m_dependencies.links.send(open.instance, ForwardFlow{open.run, shouldPause});
    } else {
        m_dependencies.runs.setPaused(open.run, shouldPause);
    }
}

std::size_t RequestFlow::answerBytes() const
{
    return m_answerMemory.bytes();
}

void RequestFlow::runEnd(Number run, AnswerEnd end)
{
    OpenRequest *open = findByRun(run);
    if (open == nullptr) {
        return;
    }
    // A stream that ends with its connection in the middle of an event, or before its first one, is not whole.
    const bool hasWholeEvents = open->events.partial().empty() && open->progress == AnswerProgress::Writing;
    // Neither is the rest of one that another server has begun, whatever its framing.
    const bool endsInsideEvent = open->hasBegunAnswer && !open->events.partial().empty() && open->isResumed;
    if (isEventStream(*open) && ((end == AnswerEnd::ConnectionClosed && !hasWholeEvents) || endsInsideEvent)) {
        noteFailedRun(*open, REASON_ANSWER_BROKEN_OFF);
        retryOrFail(open->number, true, RunEnd::Unreachable, REASON_ANSWER_BROKEN_OFF);
        return;
    }
    const bool hasEndedWell = isEventStream(*open) ? hasWholeEvents : open->head.status < MIN_SERVER_ERROR_STATUS;
    if (hasEndedWell) {
        noteEndedRun(*open, end);
    }
    countUsage(*open);
    if (!open->isAnswering && !open->server.isEmpty()) {
        open->isAnswering = true;
        open->timeToFirstData = m_dependencies.timers.now() - open->runStartedAt;
        m_dependencies.backends.answered(open->server, open->priority, open->unreadTokens, open->timeToFirstData);
    }
    endRun(*open, open->head.status >= 500 ? RunEnd::ServerError : RunEnd::Success);
    complete(*open);
}

void RequestFlow::complete(OpenRequest &open)
{
    if (!isEventStream(open)) {
        open.sink->answer(open.head, std::move(open.body));
    } else {
        if (!open.hasBegunAnswer) {
            open.sink->begin(open.head);
        }
        if (!open.events.partial().empty()) {
            open.sink->data(open.events.partial());
        }
        open.sink->finish();
    }
    m_dependencies.journal.log(makeLogEvent("request_answered", open)
                                   .with("status", absl::StrCat(open.head.status))
                                   .with("customer", open.customer.value())
                                   .with("sends", absl::StrCat(open.sendCount))
                                   .with("first_ms", absl::StrCat(absl::ToInt64Milliseconds(open.runStartedAt + open.timeToFirstData - open.arrivedAt)))
                                   .with("total_ms", absl::StrCat(absl::ToInt64Milliseconds(m_dependencies.timers.now() - open.arrivedAt))));
    if (open.sendCount == 1) {
        m_lateRequests.noteAnswer(open.route.name, m_dependencies.timers.now() - open.runStartedAt - open.timeToFirstData);
    }
    m_dependencies.journal.count("requests_answered_total", open.route.name, 1);
    m_dependencies.journal.observe("request_seconds", open.route.name, m_dependencies.timers.now() - open.arrivedAt);
    close(open.number);
}

void RequestFlow::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    OpenRequest *open = findByRun(run);
    if (open != nullptr) {
        // A request that was handed over and not refused may have begun; its answer is lost.
        if (mayHaveRun && !isUnreached(reason)) {
            countUsage(*open);
        }
        noteFailedRun(*open, reason);
        retryOrFail(open->number, mayHaveRun, endOfFailedRun(reason), reason);
    }
}

void RequestFlow::fail(OpenRequest &open, const core::Error &error)
{
    // Return the tokens of a request that certainly was not executed.
    if (open.hasReservedTokens && !open.mayHaveRun) {
        m_dependencies.allowances.refund(open.customer, open.cost);
    }
    core::LogEvent logEvent = makeLogEvent("request_refused", open);
    logEvent.with("kind", core::errorAnswer(error.kind).name).with("customer", open.customer.value()).with("message", error.message);
    logEvent.with("sends", absl::StrCat(open.sendCount));
    if (m_confirmedAt > absl::InfinitePast()) {
        logEvent.with("deployment_age_ms", absl::StrCat(absl::ToInt64Milliseconds(m_dependencies.timers.now() - m_confirmedAt)));
    }
    if (error.retryAfter.has_value()) {
        logEvent.with("retry_after_ms", absl::StrCat(absl::ToInt64Milliseconds(*error.retryAfter)));
    }
    m_dependencies.journal.log(logEvent);
    m_dependencies.journal.count("requests_refused_total", core::errorAnswer(error.kind).name, 1);
    if (open.hasBegunAnswer) {
        open.sink->breakOff();
    } else {
        open.sink->refuse(error);
    }
    close(open.number);
}

RequestFlow::OpenRequest *RequestFlow::findForwarded(const core::InstanceId &instance, Number run)
{
    OpenRequest *open = findByRun(run);
    const bool isHeldThere = open != nullptr && open->instance == instance && open->instanceProcess == m_dependencies.fleet.linkedProcess(instance);
    return isHeldThere ? open : nullptr;
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardHead &message)
{
    OpenRequest *open = findForwarded(from, message.number);
    // After a lost link the head may come twice: with the new link, and as asked for.
    if (open != nullptr && open->progress == AnswerProgress::NotBegun) {
        runHead(message.number, message.head);
    }
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardData &message)
{
    OpenRequest *open = findForwarded(from, message.number);
    if (open == nullptr) {
        return;
    }
    if (message.sequence < open->receivedPieces) {
        return;
    }
    const bool hasHead = open->progress != AnswerProgress::NotBegun;
    if (message.sequence > open->receivedPieces || !hasHead) {
        if (!open->isAwaitingResend) {
            sendCancel(*open);
            retryOrFail(open->number, true, RunEnd::Unreachable, "forward_piece_lost");
        }
        return;
    }
    open->isAwaitingResend = false;
    ++open->receivedPieces;
    runData(message.number, message.data);
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardEnd &message)
{
    OpenRequest *open = findForwarded(from, message.number);
    if (open == nullptr) {
        return;
    }
    const bool hasHead = open->progress != AnswerProgress::NotBegun;
    if (message.pieces != open->receivedPieces || !hasHead) {
        if (!open->isAwaitingResend) {
            retryOrFail(open->number, true, RunEnd::Unreachable, "forward_piece_lost");
        }
        return;
    }
    // The instance that ran the request has checked how the answer ended.
    runEnd(message.number, AnswerEnd::Framed);
}

void RequestFlow::handle(const core::InstanceId &from, const ForwardFailed &message)
{
    OpenRequest *open = findForwarded(from, message.number);
    if (open == nullptr) {
        return;
    }
    // The other instance knows more of the request; no third one is asked.
    const std::optional<core::ErrorKind> kind = core::errorKindByName(message.reason);
    const bool isQuarantined = kind == core::ErrorKind::PromptQuarantined || kind == core::ErrorKind::RequestQuarantined;
    if (!message.mayHaveRun && !open->mayHaveRun && isQuarantined) {
        endRun(*open, RunEnd::Refused);
        const char *text = kind == core::ErrorKind::RequestQuarantined ? REQUEST_QUARANTINED_MESSAGE : PART_QUARANTINED_MESSAGE;
        fail(*open, core::makeError(*kind, text));
        return;
    }
    retryOrFail(open->number, message.mayHaveRun, RunEnd::Unreachable, message.reason);
}

void RequestFlow::linkDown(const core::InstanceId &peer)
{
    std::vector<Number> lost;
    for (const auto &entry : m_openRequests) {
        if (entry.second->run != 0 && entry.second->server.isEmpty() && entry.second->instance == peer) {
            lost.push_back(entry.first);
        }
    }
    for (const Number number : lost) {
        OpenRequest &open = *m_openRequests.at(number);
        // An instance that is only silent for a while goes on with the run. What may not be repeated waits for the link until its time is over.
        const bool canRepeat = mayRepeat(open) && open.possibleRuns + 1 < open.route.maxAttempts && open.sendCount < MAX_SENDS;
        if (canRepeat) {
            retryOrFail(number, true, RunEnd::Unreachable, "link_lost");
        } else {
            m_dependencies.journal.log(makeLogEvent("forward_link_lost", open).with("instance", peer.value()));
        }
    }
}

void RequestFlow::linkUp(const core::InstanceId &peer)
{
    const ProcessId process = m_dependencies.fleet.linkedProcess(peer);
    std::vector<Number> lost;
    for (const auto &entry : m_openRequests) {
        OpenRequest &open = *entry.second;
        if (open.run == 0 || !open.server.isEmpty() || open.instance != peer) {
            continue;
        }
        if (open.instanceProcess == process) {
            const bool hasHead = open.progress != AnswerProgress::NotBegun;
            open.isAwaitingResend = true;
            m_dependencies.journal.log(makeLogEvent("forward_resume_sent", open)
                                           .with("instance", peer.value())
                                           .with("has_head", hasHead ? "true" : "false")
                                           .with("pieces", absl::StrCat(open.receivedPieces)));
            m_dependencies.links.send(peer, ForwardResume{open.run, hasHead, open.receivedPieces});
        } else {
            lost.push_back(entry.first);
        }
    }
    for (const Number number : lost) {
        retryOrFail(number, true, RunEnd::Unreachable, "instance_restarted");
    }
}

} // namespace snipeferry::gateway
