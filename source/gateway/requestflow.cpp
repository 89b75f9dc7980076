#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Interval of the check for deadlines and silent runs. An answer must be final within half a second after its deadline. */
constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(50);
/**
 * A repeatable request is sent elsewhere if its run has sent no data for this multiple of the route's latency objective, but at least
 * MIN_SILENCE_TIMEOUT.
 */
constexpr double SILENCE_LATENCY_FACTOR = 1.6;
constexpr absl::Duration MIN_SILENCE_TIMEOUT = absl::Milliseconds(1100);
/** The same for a stream that has sent events, as a multiple of the latency objective and of the objective for pauses, but at least the minimum. */
constexpr double STREAM_SILENCE_LATENCY_FACTOR = 2.4;
constexpr double STREAM_SILENCE_PAUSE_FACTOR = 4.8;
constexpr absl::Duration MIN_STREAM_SILENCE_TIMEOUT = absl::Seconds(2);

/** How long a request waits for tokens that were requested from other instances of the region: one round trip and the time to send them. */
constexpr absl::Duration TOKEN_WAIT = absl::Milliseconds(15);
constexpr int MAX_TOKEN_WAITS = 3;
/** Label of requests whose callers left before their route was looked up. */
constexpr const char *NO_ROUTE = "none";

} // namespace

RequestFlow::RequestFlow(FlowSettings settings, FlowDependencies dependencies)
    : m_settings(settings),
      m_dependencies(dependencies),
      m_answerMemory(settings.answers),
      m_random(settings.seed),
      m_refusalDelay(settings.seed + 1),
      m_sweepTimer(dependencies.timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

RequestFlow::~RequestFlow() = default;

std::size_t RequestFlow::openCount() const
{
    return m_openRequests.size();
}

bool RequestFlow::ownsRun(Number run) const
{
    return m_requestByRun.contains(run);
}

core::LogEvent RequestFlow::makeLogEvent(const std::string &name, const OpenRequest &open) const
{
    core::LogEvent logEvent{name, {}};
    logEvent.with("request", open.request.id.value()).with("route", open.route.name);
    return logEvent;
}

Number RequestFlow::arrived(HttpRequest request, std::shared_ptr<AnswerSink> sink)
{
    const absl::Time now = m_dependencies.timers.now();
    OpenRequestPointer owned = std::make_unique<OpenRequest>();
    OpenRequest &open = *owned;
    open.number = ++m_lastNumber;
    open.sink = std::move(sink);
    open.arrivedAt = now;
    const Number number = open.number;
    m_openRequests.emplace(number, std::move(owned));

    core::Expected<CallerRequest> decoded = m_dependencies.headers.decodeRequest(std::move(request));
    if (!decoded) {
        fail(open, decoded.error());
        return number;
    }
    open.request = std::move(*decoded);

    admitOrWait(open);
    return number;
}

void RequestFlow::admitOrWait(OpenRequest &open)
{
    if (closeIfCallerGone(open)) {
        return;
    }
    core::Expected<void> admitted = admit(open);
    const bool hasTooFewTokens = !admitted && admitted.error().kind == core::ErrorKind::RateExceeded;
    if (hasTooFewTokens && open.tokenWaits < MAX_TOKEN_WAITS && m_dependencies.allowances.isAwaitingGrants(open.customer)) {
        ++open.tokenWaits;
        open.tokenTimer = m_dependencies.timers.after(TOKEN_WAIT, [this, number = open.number] {
            const auto it = m_openRequests.find(number);
            if (it != m_openRequests.end()) {
                admitOrWait(*it->second);
            }
        });
        return;
    }
    if (admitted) {
        admitted = place(open);
    }
    if (!admitted) {
        fail(open, admitted.error());
    }
}

RequestFlow::OpenRequest *RequestFlow::findByRun(Number run)
{
    const auto number = m_requestByRun.find(run);
    if (number == m_requestByRun.end()) {
        return nullptr;
    }
    const auto open = m_openRequests.find(number->second);
    return open == m_openRequests.end() ? nullptr : open->second.get();
}

void RequestFlow::close(Number number)
{
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    cancelRun(*it->second);
    m_answerMemory.update(answerSource(*it->second), it->second->countedBytes, 0);
    m_openRequests.erase(it);
}

std::string RequestFlow::stageOf(const OpenRequest &open)
{
    if (open.run == 0) {
        return open.sendCount == 0 ? "admission" : "between_runs";
    }
    if (open.hasBegunAnswer) {
        return "streaming";
    }
    return open.server.isEmpty() ? "forwarded" : "running";
}

void RequestFlow::callerLeft(Number request)
{
    const auto it = m_openRequests.find(request);
    if (it == m_openRequests.end()) {
        return;
    }
    const OpenRequest &open = *it->second;
    const absl::Time now = m_dependencies.timers.now();
    m_dependencies.journal.log(makeLogEvent("caller_left", open)
                                   .with("stage", stageOf(open))
                                   .with("server", open.server.value())
                                   .with("instance", open.instance.value())
                                   .with("sends", absl::StrCat(open.sendCount))
                                   .with("events", absl::StrCat(open.events.eventCount()))
                                   .with("waited_ms", absl::StrCat(absl::ToInt64Milliseconds(now - open.arrivedAt)))
                                   .with("silent_ms", absl::StrCat(absl::ToInt64Milliseconds(now - std::max(open.lastDataAt, open.arrivedAt)))));
    m_dependencies.journal.count("callers_left_total", open.route.name.empty() ? NO_ROUTE : open.route.name, 1);
    if (open.hasReservedTokens && open.run == 0 && !open.mayHaveRun) {
        m_dependencies.allowances.refund(open.customer, open.cost);
    }
    close(request);
}

bool RequestFlow::closeIfCallerGone(const OpenRequest &open)
{
    if (!open.sink->isCallerGone()) {
        return false;
    }
    callerLeft(open.number);
    return true;
}

absl::Duration RequestFlow::silenceLimit(const OpenRequest &open) const
{
    if (open.priority == overload::LATE_RANK && open.events.eventCount() == 0) {
        return overload::LateRequests::patience(open.route.latencyObjective, open.route.pauseObjective);
    }
    if (open.events.eventCount() == 0) {
        return std::max(MIN_SILENCE_TIMEOUT, open.route.latencyObjective * SILENCE_LATENCY_FACTOR);
    }
    // A stream that is slow but sound is cheaper to wait for than to read in again elsewhere.
    return std::max(
        {MIN_STREAM_SILENCE_TIMEOUT, open.route.latencyObjective * STREAM_SILENCE_LATENCY_FACTOR, open.route.pauseObjective * STREAM_SILENCE_PAUSE_FACTOR});
}

void RequestFlow::sweep()
{
    const absl::Time now = m_dependencies.timers.now();
    std::vector<Number> due;
    std::vector<Number> silent;
    std::vector<Number> paused;
    for (const auto &entry : m_openRequests) {
        const OpenRequest &open = *entry.second;
        if (open.deadline <= now) {
            due.push_back(entry.first);
        } else if (open.isPaused) {
            paused.push_back(entry.first);
        } else if (open.run != 0 && mayRepeat(open) && now - open.lastDataAt > silenceLimit(open)) {
            silent.push_back(entry.first);
        }
    }
    for (const Number number : due) {
        const auto it = m_openRequests.find(number);
        if (it == m_openRequests.end()) {
            continue;
        }
        OpenRequest &open = *it->second;
        const bool hasRun = open.run != 0 || open.mayHaveRun;
        open.mayHaveRun = hasRun;
        cancelRun(open);
        fail(open,
            hasRun ? core::makeError(core::ErrorKind::BackendTimeout, "The answer was not complete within the time limit.")
                   : core::makeError(core::ErrorKind::DeadlineUnreachable, "The time limit passed before a backend server ran the request."));
    }
    for (const Number number : paused) {
        const auto it = m_openRequests.find(number);
        if (it != m_openRequests.end() && countBytes(*it->second)) {
            adjustReading(*it->second);
        }
    }
    for (const Number number : silent) {
        const auto it = m_openRequests.find(number);
        if (it != m_openRequests.end()) {
            retrySilentRun(*it->second, now);
        }
    }
}

} // namespace snipeferry::gateway
