#include "requestflow.h"

#include <algorithm>
#include <type_traits>

namespace snipeferry::node {

namespace {

constexpr absl::Duration RETRY_AFTER = absl::Seconds(1);
constexpr int FIRST_SERVER_ERROR_STATUS = 500;

std::optional<core::RanState> ranStateByName(const std::string &name)
{
    for (const core::RanState state : {core::RanState::NotRun, core::RanState::Unknown, core::RanState::Ran}) {
        if (name == core::ranStateName(state)) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace

void RequestFlow::handle(const messages::BackendHead &event)
{
    OpenRequest *open = findAttempt(event.request, event.attempt);
    if (open == nullptr) {
        return;
    }

    // The caller has already received the head of a resumed stream.
    if (open->hasHead) {
        open->answer.begin(event.headers, false);
        if (event.status != open->status || !open->answer.isEventStream()) {
            cancelAttempt(*open);
            fail(*open, core::makeError(core::ErrorKind::StreamInterrupted, "the stream could not be resumed"));
        }
        return;
    }
    const bool hasFailed = event.status >= FIRST_SERVER_ERROR_STATUS;
    observe(*open, hasFailed);
    if (hasFailed && retry(*open, core::makeError(core::ErrorKind::BackendFailed, "the backend server answered with an error"), true)) {
        return;
    }
    const bool keepsBody = open->isOperation() || (open->rules.isModelEngine && !open->request.isStream);
    open->answer.begin(event.headers, keepsBody);
    sendAnswerHead(*open, event.status, event.headers);
}

void RequestFlow::handle(const messages::BackendChunk &event)
{
    OpenRequest *open = findAttempt(event.request, event.attempt);
    if (open == nullptr || !open->hasHead) {
        return;
    }
    const std::string data = open->answer.append(event.data);
    if (!data.empty()) {
        sendAnswerData(*open, data);
    }
}

void RequestFlow::handle(const messages::BackendEnd &event)
{
    OpenRequest *open = findAttempt(event.request, event.attempt);
    if (open == nullptr || !open->hasHead) {
        return;
    }
    // A model engine's stream that ends without the [DONE] event was interrupted.
    if (open->rules.isModelEngine && open->answer.isEventStream() && !open->answer.hasDoneEvent()) {
        attemptFailed(*open, core::makeError(core::ErrorKind::StreamInterrupted, "the stream ended without its final event"), true);
        return;
    }
    const std::string incompleteEvent = open->answer.takeIncompleteEvent();
    if (!incompleteEvent.empty()) {
        sendAnswerData(*open, incompleteEvent);
    }
    finishAnswer(*open);
}

void RequestFlow::handle(const messages::BackendFailure &event)
{
    OpenRequest *open = findAttempt(event.request, event.attempt);
    if (open == nullptr) {
        return;
    }
    if (!open->hasHead) {
        observe(*open, true);
    }
    attemptFailed(*open, core::makeError(core::ErrorKind::BackendFailed, "the backend server failed: " + event.reason), event.mayHaveRun);
}

void RequestFlow::handle(const messages::PeerLinkChanged &event)
{
    if (event.isUp) {
        return;
    }
    std::vector<core::RequestId> affected;
    for (const auto &entry : m_openRequests) {
        const OpenRequest &open = *entry.second;
        const bool isForwardedToPeer = open.stage == RequestStage::Forwarded && open.choice.instance == event.peer;
        if (isForwardedToPeer || open.origin == event.peer) {
            affected.push_back(entry.first);
        }
    }
    for (const core::RequestId &id : affected) {
        const auto it = m_openRequests.find(id);
        if (it == m_openRequests.end()) {
            continue;
        }
        OpenRequest &open = *it->second;
        if (open.origin != event.peer) {
            attemptFailed(open, core::makeError(core::ErrorKind::PeerUnavailable, "the link to the other data centre was lost"), true);
            continue;
        }
        cancelAttempt(open);
        open.isDetached = true;
        if (!open.isOperation() || !open.isRunning()) {
            fail(open, core::makeError(core::ErrorKind::CallerGone, "the link to the forwarding instance is gone"));
        }
    }
}

void RequestFlow::handle(const messages::PeerReceived &event)
{
    std::visit(
        [&](const auto &message) {
            using Message = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<Message, ForwardRequest>) {
                handleForward(event.from, message);
            } else if constexpr (
                std::is_same_v<Message,
                    ForwardHead> || std::is_same_v<Message, ForwardChunk> || std::is_same_v<Message, ForwardEnd> || std::is_same_v<Message, ForwardFailed> || std::is_same_v<Message, ForwardCancel>) {
                handleForwardMessage(event.from, message);
            }
        },
        event.message);
}

void RequestFlow::handleForwardMessage(const core::InstanceId &from, const ForwardHead &message)
{
    OpenRequest *open = findForward(message.id, from);
    if (open == nullptr || open->hasHead) {
        return;
    }
    const bool keepsBody = open->isOperation() || (open->rules.isModelEngine && !open->request.isStream);
    open->answer.begin(message.headers, keepsBody);
    sendAnswerHead(*open, message.status, message.headers);
}

void RequestFlow::handleForwardMessage(const core::InstanceId &from, const ForwardChunk &message)
{
    OpenRequest *open = findForward(message.id, from);
    if (open == nullptr || !open->hasHead) {
        return;
    }
    // Drop a repeated chunk. A missing chunk makes the answer incomplete.
    if (message.sequence < open->pieces) {
        return;
    }
    if (message.sequence > open->pieces) {
        cancelAttempt(*open);
        attemptFailed(*open, core::makeError(core::ErrorKind::StreamInterrupted, "a piece of the answer was lost between data centres"), true);
        return;
    }
    ++open->pieces;
    const std::string data = open->answer.append(message.data);
    if (!data.empty()) {
        sendAnswerData(*open, data);
    }
}

void RequestFlow::handleForwardMessage(const core::InstanceId &from, const ForwardEnd &message)
{
    OpenRequest *open = findForward(message.id, from);
    if (open == nullptr || !open->hasHead) {
        return;
    }
    if (message.pieces != open->pieces) {
        attemptFailed(*open, core::makeError(core::ErrorKind::StreamInterrupted, "a piece of the answer was lost between data centres"), true);
        return;
    }
    const std::string incompleteEvent = open->answer.takeIncompleteEvent();
    if (!incompleteEvent.empty()) {
        sendAnswerData(*open, incompleteEvent);
    }
    open->remoteTokens = message.tokensUsed;
    finishAnswer(*open);
}

void RequestFlow::handleForwardMessage(const core::InstanceId &from, const ForwardFailed &message)
{
    OpenRequest *open = findForward(message.id, from);
    if (open == nullptr) {
        return;
    }
    core::Error error = core::makeError(core::errorKindByName(message.kind).value_or(core::ErrorKind::Internal), message.message, message.retryAfter);
    error.ranState = ranStateByName(message.ranState).value_or(core::RanState::Unknown);

    // Do not retry after a withdrawn key: the other instance has a newer configuration.
    if (error.kind == core::ErrorKind::KeyWithdrawn) {
        fail(*open, error);
        return;
    }
    attemptFailed(*open, error, error.ranState != core::RanState::NotRun);
}

void RequestFlow::handleForwardMessage(const core::InstanceId &from, const ForwardCancel &message)
{
    const auto it = m_openRequests.find(message.id);
    if (it == m_openRequests.end() || it->second->origin != from) {
        return;
    }
    OpenRequest &open = *it->second;
    cancelAttempt(open);
    open.isDetached = true;
    fail(open, core::makeError(core::ErrorKind::CallerGone, "the caller closed its connection"));
}

void RequestFlow::sendAnswerHead(OpenRequest &open, int status, std::vector<Header> headers)
{
    open.hasHead = true;
    open.lastProgress = m_components.timers.now();
    open.status = status;
    open.answerHeaders = headers;
    setTimeoutAt(open, idleTimeoutAt(open));
    if (open.isForwarded()) {
        m_components.outbox.push(messages::SendToPeer{open.origin, ForwardHead{open.request.id, status, std::move(headers)}});
    } else if (!open.isDetached) {
        m_components.outbox.push(messages::AnswerHead{open.request.id, status, std::move(headers)});
    }
}

void RequestFlow::sendAnswerData(OpenRequest &open, const std::string &data)
{
    open.lastProgress = m_components.timers.now();
    if (open.isForwarded()) {
        m_components.outbox.push(messages::SendToPeer{open.origin, ForwardChunk{open.request.id, open.pieces++, data}});
    } else if (!open.isDetached) {
        m_components.outbox.push(messages::AnswerChunk{open.request.id, data});
    }
}

void RequestFlow::finishAnswer(OpenRequest &open)
{
    if (open.isForwarded()) {
        m_components.outbox.push(messages::SendToPeer{open.origin, ForwardEnd{open.request.id, open.pieces, tokensUsed(open)}});
    } else if (!open.isDetached) {
        m_components.outbox.push(messages::AnswerEnd{open.request.id});
    }
    log(open,
        core::LogEvent{"request_finished", {}}
            .with("status", std::to_string(open.status))
            .with("tokens", std::to_string(tokensUsed(open)))
            .with("milliseconds", std::to_string(absl::ToInt64Milliseconds(m_components.timers.now() - open.arrived))));
    m_components.outbox.push(messages::Count{"requests_finished", "answered"});
    finishOperation(open, true);
    release(open, false);
    erase(open.request.id);
}

void RequestFlow::attemptFailed(OpenRequest &open, const core::Error &error, bool mayHaveRun)
{
    if (open.hasHead) {
        if (resume(open)) {
            return;
        }
        core::Error interrupted
            = core::makeError(core::ErrorKind::StreamInterrupted, error.message + "; " + std::to_string(open.answer.tokenEventCount()) + " events were sent");
        fail(open, interrupted);
        return;
    }
    if (retry(open, error, mayHaveRun)) {
        return;
    }

    // Report NotRun only if no attempt can have run.
    core::Error last = error;
    const bool hasRun = open.mayHaveRun || mayHaveRun;
    if (!hasRun && error.ranState != core::RanState::NotRun) {
        last = core::makeError(core::ErrorKind::NoBackendServer, error.message, RETRY_AFTER);
    }
    last.ranState = hasRun ? core::RanState::Unknown : core::RanState::NotRun;
    fail(open, last);
}

void RequestFlow::fail(OpenRequest &open, core::Error error)
{
    if (open.mayHaveRun && error.ranState == core::RanState::NotRun) {
        error.ranState = core::RanState::Unknown;
    }
    const char *kind = core::errorAnswer(error.kind).name;
    log(open, core::LogEvent{"request_refused", {}}.with("kind", kind).with("ran", core::ranStateName(error.ranState)));
    m_components.outbox.push(messages::Count{"requests_finished", kind});
    if (open.isForwarded()) {
        m_components.outbox.push(
            messages::SendToPeer{open.origin, ForwardFailed{open.request.id, kind, error.message, core::ranStateName(error.ranState), error.retryAfter}});
    } else if (!open.isDetached) {
        m_components.outbox.push(messages::AnswerError{open.request.id, error});
    }
    if (open.stage == RequestStage::Queued) {
        m_queue.remove(open.request.id);
    }
    open.mayHaveRun = error.ranState != core::RanState::NotRun;
    finishOperation(open, false);
    release(open, true);
    erase(open.request.id);
}

void RequestFlow::finishOperation(OpenRequest &open, bool isComplete)
{
    if (!open.holdsOperation) {
        return;
    }
    open.holdsOperation = false;
    if (!isComplete) {
        const operations::RunOutcome outcome = open.mayHaveRun ? operations::RunOutcome::Unknown : operations::RunOutcome::NotRun;
        m_components.operations.finish(open.request.id, outcome, std::nullopt);
        return;
    }
    std::optional<operations::StoredAnswer> stored;
    const std::optional<std::string> body = open.answer.body();
    if (body.has_value()) {
        stored = operations::StoredAnswer{open.status, open.answerHeaders, *body};
    }
    m_components.operations.finish(open.request.id, operations::RunOutcome::Answered, std::move(stored));
}

void RequestFlow::release(OpenRequest &open, bool hasFailed)
{
    const core::Tokens used = tokensUsed(open);
    if (open.stage == RequestStage::AwaitingTokens || open.holdsTokens) {
        open.holdsTokens = false;
        m_components.limits.settle(open.request.id, used);
    }
    if (open.stage == RequestStage::Dispatched) {
        m_components.peaks.record(used);
    }
    m_components.peaks.release(std::exchange(open.peakReservation, 0));
    if (open.isRunning()) {
        m_components.router.finished(open.request.id, hasFailed);
    }
}

core::Tokens RequestFlow::tokensUsed(const OpenRequest &open) const
{
    const bool hasRun = open.hasHead || open.mayHaveRun || open.isRunning();
    if (!hasRun) {
        return 0;
    }
    if (!open.rules.isModelEngine) {
        return open.rules.cost;
    }
    if (open.remoteTokens.has_value()) {
        return std::min(*open.remoteTokens, open.rules.cost);
    }
    const std::optional<core::Tokens> reportedTokens = open.answer.reportedUsage();
    if (reportedTokens.has_value()) {
        return std::clamp<core::Tokens>(*reportedTokens, 0, open.rules.cost);
    }
    if (open.hasHead && open.answer.isEventStream()) {
        return std::min(open.request.promptTokens + open.answer.tokenEventCount(), open.rules.cost);
    }
    return open.rules.cost;
}

void RequestFlow::observe(const OpenRequest &open, bool hasFailed)
{
    if (!open.isDetached) {
        m_components.rollouts.observe({open.request.service, open.version, open.rules.routeName, hasFailed, m_components.timers.now() - open.dispatched});
    }
}

void RequestFlow::erase(const core::RequestId &id)
{
    const auto it = m_openRequests.find(id);
    if (it == m_openRequests.end()) {
        return;
    }
    m_timeouts.erase({it->second->timeoutAt, id});
    m_openRequests.erase(it);
}

OpenRequest *RequestFlow::findAttempt(const core::RequestId &id, int attempt)
{
    const auto it = m_openRequests.find(id);
    const bool isCurrent = it != m_openRequests.end() && it->second->stage == RequestStage::Dispatched && it->second->attempt == attempt;
    return isCurrent ? it->second.get() : nullptr;
}

OpenRequest *RequestFlow::findForward(const core::RequestId &id, const core::InstanceId &from)
{
    const auto it = m_openRequests.find(id);
    const bool isCurrent = it != m_openRequests.end() && it->second->stage == RequestStage::Forwarded && it->second->choice.instance == from;
    return isCurrent ? it->second.get() : nullptr;
}

void RequestFlow::log(const OpenRequest &open, core::LogEvent event)
{
    core::LogEvent line{event.name, {{"request", open.request.id.value()}}};
    line.fields.insert(line.fields.end(), event.fields.begin(), event.fields.end());
    m_components.outbox.push(messages::Log{std::move(line)});
}

} // namespace snipeferry::node
