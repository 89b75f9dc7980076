#include "requestflow.h"

namespace snipeferry::node {

namespace {

constexpr int MAX_ATTEMPTS = 3;
constexpr absl::Duration REQUEUE_DELAY = absl::Milliseconds(20);
constexpr absl::Duration PAUSE_THRESHOLD = absl::Seconds(1);
/** Messages sent before a pause are received within this time after the pause; they don't confirm the configuration. */
constexpr absl::Duration STALE_MESSAGE_WINDOW = absl::Milliseconds(500);
constexpr absl::Duration CONFIRMATION_RETRY_INTERVAL = absl::Milliseconds(200);
/**
 * Without a confirmation for this long, the data centre counts as cut off and continues with the configuration that it has.
 * The timeout is half the time within which a configuration change must be in force.
 */
constexpr absl::Duration CONFIRMATION_TIMEOUT = absl::Seconds(3);
constexpr absl::Duration RETRY_AFTER = absl::Seconds(1);
/** Longest time without data in an answer that continues after its deadline; together with the deadline it limits every answer. */
constexpr absl::Duration IDLE_TIMEOUT_AFTER_DEADLINE = absl::Seconds(4);

} // namespace

routing::RouteQuery RequestFlow::routeQuery(const OpenRequest &open) const
{
    routing::RouteQuery query;
    query.request = open.request.id;
    query.service = open.request.service;
    query.version = open.version;
    query.allowedRegions = allowedRegions(open);
    query.tokenBound = open.rules.cost;
    query.promptTokens = open.request.promptTokens;
    query.prefixHashes = open.request.prefixHashes;
    query.bodyBytes = open.request.body.size();
    query.timeLeft = open.deadline - m_components.timers.now();
    query.isForwarded = open.isForwarded();
    query.excluded = open.excludedServers;
    query.excludedInstances = open.excludedInstances;
    query.preferredRegions = peakAdvice(open).regions;
    return query;
}

peak::PeakAdvice RequestFlow::peakAdvice(const OpenRequest &open) const
{
    // The origin of a forwarded request has already decided whether to hold the request or to move it to another region.
    if (open.isForwarded()) {
        return {};
    }
    const absl::Time holdEnd = open.arrived + open.rules.holdLimit * peak::holdShare(open.request.id);
    const absl::Duration holdLeft = std::max(absl::ZeroDuration(), holdEnd - m_components.timers.now());
    return m_components.peaks.advise({open.rules.cost, allowedRegions(open), holdLeft});
}

bool RequestFlow::canRun(const admission::QueuedRequest &queued)
{
    const auto it = m_openRequests.find(queued.request);
    if (it == m_openRequests.end()) {
        return true;
    }
    // A request that the peak ledger advises to hold stays in the queue.
    if (peakAdvice(*it->second).verdict == peak::PeakAdvice::Verdict::Hold) {
        return false;
    }
    const core::Expected<routing::RouteChoice> choice = m_components.router.choose(routeQuery(*it->second));
    if (!choice) {
        return choice.error().kind != core::ErrorKind::Overloaded;
    }
    return choice->hasFreeSlot;
}

void RequestFlow::detectPause()
{
    const absl::Time now = m_components.timers.now();
    if (now - m_lastActiveAt > PAUSE_THRESHOLD) {
        m_isCatchingUp = true;
        m_pauseDetectedAt = now;
        m_confirmationRequestedAt = absl::InfinitePast();
        m_components.outbox.push(
            messages::Log{core::LogEvent{"pause_noticed", {{"milliseconds", std::to_string(absl::ToInt64Milliseconds(now - m_lastActiveAt))}}}});
    }
    m_lastActiveAt = now;
}

bool RequestFlow::isCatchingUp()
{
    if (!m_isCatchingUp) {
        return false;
    }
    const absl::Time now = m_components.timers.now();
    const bool isConfirmed = m_components.configurations.confirmedAt() > m_pauseDetectedAt + STALE_MESSAGE_WINDOW;
    if (isConfirmed || now - m_pauseDetectedAt > CONFIRMATION_TIMEOUT) {
        m_isCatchingUp = false;
        core::LogEvent event{"pause_caught_up", {}};
        event.with("milliseconds", std::to_string(absl::ToInt64Milliseconds(now - m_pauseDetectedAt))).with("is_confirmed", isConfirmed ? "true" : "false");
        m_components.outbox.push(messages::Log{std::move(event)});
        return false;
    }
    if (now - m_confirmationRequestedAt >= CONFIRMATION_RETRY_INTERVAL) {
        m_confirmationRequestedAt = now;
        m_components.configurations.revalidate();
    }
    return true;
}

void RequestFlow::dispatchQueued()
{
    // After a pause, process the messages received in the meantime first: a key, region or version may have been withdrawn.
    detectPause();
    if (isCatchingUp() || m_isDispatchingQueued || m_queue.size() == 0) {
        return;
    }
    m_isDispatchingQueued = true;
    const absl::Time now = m_components.timers.now();
    const std::function<bool(const admission::QueuedRequest &)> predicate = [this](const admission::QueuedRequest &queued) {
        return canRun(queued);
    };
    std::optional<admission::QueuedRequest> next = m_queue.pop(now, predicate);
    while (next.has_value()) {
        const auto it = m_openRequests.find(next->request);
        if (it != m_openRequests.end()) {
            dispatch(*it->second);
        }
        next = m_queue.pop(now, predicate);
    }
    m_isDispatchingQueued = false;
}

void RequestFlow::requeue(OpenRequest &open)
{
    const absl::Time now = m_components.timers.now();
    const admission::QueuedRequest queuedRequest{open.request.id, open.customer, open.request.service, 1, open.rules.cost, open.deadline, now + REQUEUE_DELAY};
    open.stage = RequestStage::Queued;
    const core::Expected<void> accepted = m_queue.push(queuedRequest, now);
    if (!accepted) {
        fail(open, accepted.error());
    }
}

void RequestFlow::dispatch(OpenRequest &open)
{
    detectPause();
    if (isCatchingUp()) {
        requeue(open);
        return;
    }

    // Check key, allowed regions and version again: all three may have changed while the request waited.
    const core::Expected<void> allowed = checkStillAllowed(open);
    if (!allowed) {
        fail(open, allowed.error());
        return;
    }
    if (!m_components.rollouts.isVersionAllowed(open.request.service, open.version)) {
        if (open.isForwarded()) {
            fail(open, core::makeError(core::ErrorKind::NoBackendServer, "the backend server version was rolled back", RETRY_AFTER));
            return;
        }
        open.version = m_components.rollouts.chooseVersion(open.request.service, open.rules.routeName);
    }

    const routing::RouteQuery query = routeQuery(open);
    const core::Expected<routing::RouteChoice> choice = m_components.router.choose(query);
    if (!choice && choice.error().kind == core::ErrorKind::Overloaded) {
        requeue(open);
        return;
    }
    if (!choice) {
        fail(open, choice.error());
        return;
    }

    m_components.router.started(query, *choice);
    if (choice->isLocal()) {
        open.peakReservation = open.rules.cost;
        m_components.peaks.reserve(open.peakReservation);
    } else {
        m_components.peaks.noteMoved(choice->region, open.rules.cost);
    }
    open.choice = *choice;
    open.dispatched = m_components.timers.now();
    ++open.attempt;
    log(open,
        core::LogEvent{"route_chosen", {}}
            .with("customer", open.customer.value())
            .with("service", open.request.service.value())
            .with("version", open.version.value())
            .with("attempt", std::to_string(open.attempt))
            .with("region", open.choice.region.value())
            .with("backend_server", open.choice.backendServer.value())
            .with("instance", open.choice.instance.value())
            .with("reason", open.choice.reason));
    if (open.choice.isLocal()) {
        sendToBackendServer(open);
    } else {
        sendToInstance(open);
    }
}

void RequestFlow::sendToBackendServer(OpenRequest &open)
{
    const platform::BackendServer *server = m_components.router.find(open.choice.backendServer);
    open.stage = RequestStage::Dispatched;

    messages::Dispatch dispatch;
    dispatch.request = open.request.id;
    dispatch.attempt = open.attempt;
    dispatch.backendServer = open.choice.backendServer;
    dispatch.address = server == nullptr ? std::string() : server->address;
    dispatch.method = open.request.method;
    dispatch.path = open.request.path;
    dispatch.headers = open.request.headers;
    dispatch.body = open.request.body;
    dispatch.isStream = open.request.isStream;
    dispatch.firstByteTimeout = open.deadline - m_components.timers.now();

    // Headers that the gateway adds to the caller's request.
    dispatch.headers.push_back({"X-Request-Id", open.request.id.value()});
    const configuration::Customer *customer = configuration::findCustomer(*m_components.configurations.current(), open.customer);
    if (customer != nullptr) {
        dispatch.headers.push_back({"X-Priority", std::to_string(customer->priority)});
    }
    if (!open.request.idempotencyKey.empty()) {
        dispatch.headers.push_back({"Idempotency-Key", open.request.idempotencyKey});
    }
    if (server != nullptr && server->checksFencing) {
        dispatch.headers.push_back({"X-Fencing-Number", std::to_string(m_settings.self.incarnation)});
    }
    if (open.hasResumed) {
        dispatch.headers.push_back({"X-Resume-Token", std::to_string(open.answer.tokenEventCount())});
    }
    m_components.outbox.push(std::move(dispatch));
}

void RequestFlow::sendToInstance(OpenRequest &open)
{
    open.stage = RequestStage::Forwarded;
    open.pieces = 0;
    const ForwardRequest message{open.request, m_settings.self.id, open.customer, open.version, m_components.configurations.current()->revision,
        open.deadline - m_components.timers.now()};
    m_components.outbox.push(messages::SendToPeer{open.choice.instance, message});
}

bool RequestFlow::retry(OpenRequest &open, const core::Error &error, bool mayHaveRun)
{
    if (open.hasHead || open.attempt >= MAX_ATTEMPTS || open.deadline <= m_components.timers.now()) {
        return false;
    }
    const bool isSafe = !mayHaveRun || open.rules.isIdempotent;
    if (!isSafe || open.isDetached || !m_retryBudget.tryTake()) {
        return false;
    }

    // Exclude the backend server or instance that failed or refused the request.
    if (open.choice.isLocal()) {
        open.excludedServers.push_back(open.choice.backendServer);
    } else {
        open.excludedInstances.push_back(open.choice.instance);
    }
    log(open, core::LogEvent{"retry", {}}.with("reason", core::errorAnswer(error.kind).name));
    cancelAttempt(open);
    m_components.router.finished(open.request.id, true);
    m_components.peaks.release(std::exchange(open.peakReservation, 0));
    open.mayHaveRun = open.mayHaveRun || mayHaveRun;
    open.stage = RequestStage::Queued;
    dispatch(open);
    return true;
}

bool RequestFlow::resume(OpenRequest &open)
{
    const bool isResumable = open.stage == RequestStage::Dispatched && open.rules.isModelEngine && open.answer.isEventStream() && !open.answer.hasDoneEvent();
    if (!isResumable || open.hasResumed || open.isDetached) {
        return false;
    }
    const core::BackendServerId failedServer = open.choice.backendServer;
    open.excludedServers.push_back(failedServer);
    routing::RouteQuery query = routeQuery(open);
    query.isForwarded = true;
    const core::Expected<routing::RouteChoice> choice = m_components.router.choose(query);
    const platform::BackendServer *server = choice ? m_components.router.find(choice->backendServer) : nullptr;
    if (server == nullptr || !server->canResume) {
        return false;
    }

    // Continue after the last complete event that was passed on.
    cancelAttempt(open);
    m_components.router.finished(open.request.id, true);
    m_components.router.started(query, *choice);
    open.choice = *choice;
    open.hasResumed = true;
    ++open.attempt;
    log(open,
        core::LogEvent{"stream_resumed", {}}
            .with("from", failedServer.value())
            .with("backend_server", open.choice.backendServer.value())
            .with("token", std::to_string(open.answer.tokenEventCount())));
    sendToBackendServer(open);
    return true;
}

void RequestFlow::cancelAttempt(OpenRequest &open)
{
    if (open.stage == RequestStage::Dispatched && !open.isOperation()) {
        m_components.outbox.push(messages::CancelDispatch{open.request.id, open.attempt});
    }
    if (open.stage == RequestStage::Forwarded && !open.isOperation()) {
        m_components.outbox.push(messages::SendToPeer{open.choice.instance, ForwardCancel{open.request.id}});
    }
}

void RequestFlow::setTimeoutAt(OpenRequest &open, absl::Time time)
{
    m_timeouts.erase({open.timeoutAt, open.request.id});
    open.timeoutAt = time;
    m_timeouts.emplace(time, open.request.id);
}

void RequestFlow::expireTimeouts()
{
    const absl::Time now = m_components.timers.now();
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= now) {
        const core::RequestId id = m_timeouts.begin()->second;
        m_timeouts.erase(m_timeouts.begin());
        const auto it = m_openRequests.find(id);
        if (it != m_openRequests.end()) {
            handleTimeout(*it->second);
        }
    }

    // Remove expired entries from the list of recently forwarded requests.
    for (auto it = m_recentForwards.begin(); it != m_recentForwards.end();) {
        if (it->second <= now) {
            m_recentForwards.erase(it++);
        } else {
            ++it;
        }
    }
}

absl::Time RequestFlow::idleTimeoutAt(const OpenRequest &open) const
{
    const absl::Duration timeoutAfterDeadline = std::min(m_settings.streamIdleTimeout, IDLE_TIMEOUT_AFTER_DEADLINE);
    return std::min(open.lastProgress + m_settings.streamIdleTimeout, std::max(open.deadline, open.lastProgress + timeoutAfterDeadline));
}

void RequestFlow::handleTimeout(OpenRequest &open)
{
    // Limit the time without data in an answer that has begun: a backend server or a connection can fail without an error.
    if (open.hasHead) {
        const absl::Time idleTimeout = idleTimeoutAt(open);
        if (idleTimeout > m_components.timers.now()) {
            setTimeoutAt(open, idleTimeout);
            return;
        }
        setTimeoutAt(open, m_components.timers.now() + m_settings.streamIdleTimeout);
        cancelAttempt(open);
        attemptFailed(open, core::makeError(core::ErrorKind::StreamInterrupted, "the answer stopped before its end"), true);
        return;
    }
    if (open.isRunning()) {
        cancelAttempt(open);
        attemptFailed(open, core::makeError(core::ErrorKind::BackendFailed, "no answer was received before the deadline"), true);
        return;
    }
    fail(open, core::makeError(core::ErrorKind::DeadlineUnreachable, "the request was still waiting at its deadline", RETRY_AFTER));
}

} // namespace snipeferry::node
