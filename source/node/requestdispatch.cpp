#include "requestflow.h"

namespace snipeferry::node {

namespace {

constexpr int MAX_ATTEMPTS = 3;
constexpr absl::Duration REQUEUE_PAUSE = absl::Milliseconds(20);
constexpr absl::Duration PAUSE_LIMIT = absl::Seconds(1);
/** What was on its way before a pause is read within this time; it confirms nothing. */
constexpr absl::Duration CATCH_UP_TIME = absl::Milliseconds(500);
constexpr absl::Duration CONFIRMATION_PERIOD = absl::Milliseconds(200);
/** Without an answer for this long the data centre is cut off and serves by what it knows. Half the time in which changes are in force. */
constexpr absl::Duration CONFIRMATION_LIMIT = absl::Seconds(3);
constexpr absl::Duration RETRY_SOON = absl::Seconds(1);
/** Longest silence of an answer that began within its deadline and goes on behind it; with the deadline it bounds every answer. */
constexpr absl::Duration LATE_SILENCE_LIMIT = absl::Seconds(4);

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
    query.timeLeft = open.deadline - m_parts.timers.now();
    query.isForwarded = open.isForwarded();
    query.excluded = open.excluded;
    query.excludedInstances = open.excludedInstances;
    query.preferredRegions = peakAdvice(open).regions;
    return query;
}

peak::PeakAdvice RequestFlow::peakAdvice(const OpenRequest &open) const
{
    // A forwarded request has waited and was moved at the entry.
    if (open.isForwarded()) {
        return {};
    }
    const absl::Time holdEnd = open.arrived + open.rules.holdLimit * peak::holdShare(open.request.id);
    const absl::Duration holdLeft = std::max(absl::ZeroDuration(), holdEnd - m_parts.timers.now());
    return m_parts.peaks.advise({open.rules.cost, allowedRegions(open), holdLeft});
}

bool RequestFlow::canRun(const admission::QueuedRequest &queued)
{
    const auto it = m_open.find(queued.request);
    if (it == m_open.end()) {
        return true;
    }
    // What may wait for the sake of the peak minute stays in line.
    if (peakAdvice(*it->second).verdict == peak::PeakAdvice::Verdict::Hold) {
        return false;
    }
    const core::Expected<routing::RouteChoice> choice = m_parts.router.choose(routeQuery(*it->second));
    if (!choice) {
        return choice.error().kind != core::ErrorKind::Overloaded;
    }
    return choice->hasFreeSlot;
}

void RequestFlow::notePause()
{
    const absl::Time now = m_parts.timers.now();
    if (now - m_lastSeen > PAUSE_LIMIT) {
        m_isCatchingUp = true;
        m_wokeAt = now;
        m_askedAt = absl::InfinitePast();
        m_parts.outbox.push(messages::Log{core::LogEvent{"pause_noticed", {{"milliseconds", std::to_string(absl::ToInt64Milliseconds(now - m_lastSeen))}}}});
    }
    m_lastSeen = now;
}

bool RequestFlow::isCatchingUp()
{
    if (!m_isCatchingUp) {
        return false;
    }
    const absl::Time now = m_parts.timers.now();
    const bool isConfirmed = m_parts.configurations.confirmedAt() > m_wokeAt + CATCH_UP_TIME;
    if (isConfirmed || now - m_wokeAt > CONFIRMATION_LIMIT) {
        m_isCatchingUp = false;
        core::LogEvent event{"pause_caught_up", {}};
        event.with("milliseconds", std::to_string(absl::ToInt64Milliseconds(now - m_wokeAt))).with("is_confirmed", isConfirmed ? "true" : "false");
        m_parts.outbox.push(messages::Log{std::move(event)});
        return false;
    }
    if (now - m_askedAt >= CONFIRMATION_PERIOD) {
        m_askedAt = now;
        m_parts.configurations.revalidate();
    }
    return true;
}

void RequestFlow::pump()
{
    // After a pause the news that came meanwhile is read first; what was known before may be withdrawn.
    notePause();
    if (isCatchingUp() || m_isPumping || m_queue.size() == 0) {
        return;
    }
    m_isPumping = true;
    const absl::Time now = m_parts.timers.now();
    const std::function<bool(const admission::QueuedRequest &)> predicate = [this](const admission::QueuedRequest &queued) {
        return canRun(queued);
    };
    std::optional<admission::QueuedRequest> next = m_queue.pop(now, predicate);
    while (next.has_value()) {
        const auto it = m_open.find(next->request);
        if (it != m_open.end()) {
            dispatch(*it->second);
        }
        next = m_queue.pop(now, predicate);
    }
    m_isPumping = false;
}

void RequestFlow::enqueueAgain(OpenRequest &open)
{
    const absl::Time now = m_parts.timers.now();
    const admission::QueuedRequest again{open.request.id, open.customer, open.request.service, 1, open.rules.cost, open.deadline, now + REQUEUE_PAUSE};
    open.stage = RequestStage::Queued;
    const core::Expected<void> accepted = m_queue.push(again, now);
    if (!accepted) {
        fail(open, accepted.error());
    }
}

void RequestFlow::dispatch(OpenRequest &open)
{
    notePause();
    if (isCatchingUp()) {
        enqueueAgain(open);
        return;
    }

    // Key, residency and version are checked again: they may have changed while the request waited.
    const core::Expected<void> allowed = checkStillAllowed(open);
    if (!allowed) {
        fail(open, allowed.error());
        return;
    }
    if (!m_parts.rollouts.isVersionAllowed(open.request.service, open.version)) {
        if (open.isForwarded()) {
            fail(open, core::makeError(core::ErrorKind::NoBackendServer, "the version was taken back", RETRY_SOON));
            return;
        }
        open.version = m_parts.rollouts.chooseVersion(open.request.service, open.rules.routeName);
    }

    const routing::RouteQuery query = routeQuery(open);
    const core::Expected<routing::RouteChoice> choice = m_parts.router.choose(query);
    if (!choice && choice.error().kind == core::ErrorKind::Overloaded) {
        enqueueAgain(open);
        return;
    }
    if (!choice) {
        fail(open, choice.error());
        return;
    }

    m_parts.router.started(query, *choice);
    if (choice->isLocal()) {
        open.peakReservation = open.rules.cost;
        m_parts.peaks.reserve(open.peakReservation);
    } else {
        m_parts.peaks.noteMoved(choice->region, open.rules.cost);
    }
    open.choice = *choice;
    open.dispatched = m_parts.timers.now();
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
    const platform::BackendServer *server = m_parts.router.find(open.choice.backendServer);
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
    dispatch.firstByteTimeout = open.deadline - m_parts.timers.now();

    // What the backend server is told beside the caller's own request.
    dispatch.headers.push_back({"X-Request-Id", open.request.id.value()});
    const configuration::Customer *customer = configuration::findCustomer(*m_parts.configurations.current(), open.customer);
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
        dispatch.headers.push_back({"X-Resume-Token", std::to_string(open.answer.tokenEvents())});
    }
    m_parts.outbox.push(std::move(dispatch));
}

void RequestFlow::sendToInstance(OpenRequest &open)
{
    open.stage = RequestStage::Forwarded;
    open.pieces = 0;
    const ForwardRequest message{
        open.request, m_settings.self.id, open.customer, open.version, m_parts.configurations.current()->revision, open.deadline - m_parts.timers.now()};
    m_parts.outbox.push(messages::SendToPeer{open.choice.instance, message});
}

bool RequestFlow::retry(OpenRequest &open, const core::Error &error, bool mayHaveRun)
{
    if (open.hasHead || open.attempt >= MAX_ATTEMPTS || open.deadline <= m_parts.timers.now()) {
        return false;
    }
    const bool isSafe = !mayHaveRun || open.rules.isIdempotent;
    if (!isSafe || open.isDetached || !m_retries.tryTake()) {
        return false;
    }

    // Try another place; this one failed or refused the request.
    if (open.choice.isLocal()) {
        open.excluded.push_back(open.choice.backendServer);
    } else {
        open.excludedInstances.push_back(open.choice.instance);
    }
    log(open, core::LogEvent{"retry", {}}.with("reason", core::errorAnswer(error.kind).name));
    stopRun(open);
    m_parts.router.finished(open.request.id, true);
    m_parts.peaks.release(std::exchange(open.peakReservation, 0));
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
    const core::BackendServerId lost = open.choice.backendServer;
    open.excluded.push_back(lost);
    routing::RouteQuery query = routeQuery(open);
    query.isForwarded = true;
    const core::Expected<routing::RouteChoice> choice = m_parts.router.choose(query);
    const platform::BackendServer *server = choice ? m_parts.router.find(choice->backendServer) : nullptr;
    if (server == nullptr || !server->canResume) {
        return false;
    }

    // Continue after the last whole event that was passed on.
    stopRun(open);
    m_parts.router.finished(open.request.id, true);
    m_parts.router.started(query, *choice);
    open.choice = *choice;
    open.hasResumed = true;
    ++open.attempt;
    log(open,
        core::LogEvent{"stream_resumed", {}}
            .with("from", lost.value())
            .with("backend_server", open.choice.backendServer.value())
            .with("token", std::to_string(open.answer.tokenEvents())));
    sendToBackendServer(open);
    return true;
}

void RequestFlow::stopRun(OpenRequest &open)
{
    if (open.stage == RequestStage::Dispatched && !open.isOperation()) {
        m_parts.outbox.push(messages::CancelDispatch{open.request.id, open.attempt});
    }
    if (open.stage == RequestStage::Forwarded && !open.isOperation()) {
        m_parts.outbox.push(messages::SendToPeer{open.choice.instance, ForwardCancel{open.request.id}});
    }
}

void RequestFlow::setAlarm(OpenRequest &open, absl::Time time)
{
    m_alarms.erase({open.alarm, open.request.id});
    open.alarm = time;
    m_alarms.emplace(time, open.request.id);
}

void RequestFlow::checkAlarms()
{
    const absl::Time now = m_parts.timers.now();
    while (!m_alarms.empty() && m_alarms.begin()->first <= now) {
        const core::RequestId id = m_alarms.begin()->second;
        m_alarms.erase(m_alarms.begin());
        const auto it = m_open.find(id);
        if (it != m_open.end()) {
            alarmDue(*it->second);
        }
    }

    // Forget forwarded requests after a while.
    for (auto it = m_recentForwards.begin(); it != m_recentForwards.end();) {
        if (it->second <= now) {
            m_recentForwards.erase(it++);
        } else {
            ++it;
        }
    }
}

absl::Time RequestFlow::silenceEnd(const OpenRequest &open) const
{
    const absl::Duration late = std::min(m_settings.streamIdleTimeout, LATE_SILENCE_LIMIT);
    return std::min(open.lastProgress + m_settings.streamIdleTimeout, std::max(open.deadline, open.lastProgress + late));
}

void RequestFlow::alarmDue(OpenRequest &open)
{
    // An answer that has begun may be silent only so long: a backend server or a link can stop without a sign.
    if (open.hasHead) {
        const absl::Time silentUntil = silenceEnd(open);
        if (silentUntil > m_parts.timers.now()) {
            setAlarm(open, silentUntil);
            return;
        }
        setAlarm(open, m_parts.timers.now() + m_settings.streamIdleTimeout);
        stopRun(open);
        runFailed(open, core::makeError(core::ErrorKind::StreamInterrupted, "the answer stopped coming"), true);
        return;
    }
    if (open.isRunning()) {
        stopRun(open);
        runFailed(open, core::makeError(core::ErrorKind::BackendFailed, "no answer began within the deadline"), true);
        return;
    }
    fail(open, core::makeError(core::ErrorKind::DeadlineUnreachable, "the request waited until its deadline", RETRY_SOON));
}

} // namespace snipeferry::node
