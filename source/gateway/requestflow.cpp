#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Deadlines and silent runs are looked at this often; final answers are due half a second after a deadline. */
constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(50);
/** Silence of a run after which a repeatable request is run elsewhere, as a multiple of its latency objective. */
constexpr double SILENCE_OBJECTIVES = 1.6;
constexpr absl::Duration MIN_SILENCE = absl::Milliseconds(1100);

/** A request waits this long for tokens that other instances of the region were asked for: there and back, and a moment to send. */
constexpr absl::Duration TOKEN_PATIENCE = absl::Milliseconds(15);
constexpr int MAX_TOKEN_WAITS = 3;

} // namespace

Number nextRunNumber()
{
    static Number last = 0;
    return ++last;
}

RequestFlow::RequestFlow(FlowSettings settings, FlowParts parts)
    : m_settings(settings),
      m_parts(parts),
      m_random(settings.seed),
      m_sweep(parts.timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

RequestFlow::~RequestFlow() = default;

std::size_t RequestFlow::openCount() const
{
    return m_open.size();
}

bool RequestFlow::ownsRun(Number run) const
{
    return m_requestOfRun.contains(run);
}

core::LogEvent RequestFlow::event(const std::string &name, const Open &open) const
{
    core::LogEvent event{name, {}};
    event.with("request", open.request.id.value()).with("route", open.route.name);
    return event;
}

Number RequestFlow::arrived(HttpRequest request, std::shared_ptr<AnswerSink> sink)
{
    const absl::Time now = m_parts.timers.now();
    OpenPointer owned = std::make_unique<Open>();
    Open &open = *owned;
    open.number = ++m_lastNumber;
    open.sink = std::move(sink);
    open.arrivedAt = now;
    const Number number = open.number;
    m_open.emplace(number, std::move(owned));

    // Decode.
    core::Expected<CallerRequest> decoded = m_parts.headers.decodeRequest(std::move(request));
    if (!decoded) {
        fail(open, decoded.error());
        return number;
    }
    open.request = std::move(*decoded);

    // Admit and start.
    admitOrWait(open);
    return number;
}

void RequestFlow::admitOrWait(Open &open)
{
    core::Expected<void> admitted = admit(open);
    const bool isShort = !admitted && admitted.error().kind == core::ErrorKind::RateExceeded;
    if (isShort && open.tokenWaits < MAX_TOKEN_WAITS && m_parts.allowances.isAwaitingGrants(open.customer)) {
        ++open.tokenWaits;
        open.tokenTimer = m_parts.timers.after(TOKEN_PATIENCE, [this, number = open.number] {
            const auto it = m_open.find(number);
            if (it != m_open.end()) {
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

RequestFlow::Open *RequestFlow::byRun(Number run)
{
    const auto number = m_requestOfRun.find(run);
    if (number == m_requestOfRun.end()) {
        return nullptr;
    }
    const auto open = m_open.find(number->second);
    return open == m_open.end() ? nullptr : open->second.get();
}

void RequestFlow::close(Number number)
{
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return;
    }
    cancelRun(*it->second);
    m_open.erase(it);
}

void RequestFlow::callerLeft(Number request)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        return;
    }
    const Open &open = *it->second;
    const absl::Time now = m_parts.timers.now();
    m_parts.journal.log(event("caller_left", open)
                            .with("server", open.server.value())
                            .with("instance", open.instance.value())
                            .with("sends", absl::StrCat(open.sends))
                            .with("events", absl::StrCat(open.events.eventCount()))
                            .with("waited_ms", absl::StrCat(absl::ToInt64Milliseconds(now - open.arrivedAt)))
                            .with("silent_ms", absl::StrCat(absl::ToInt64Milliseconds(now - std::max(open.lastDataAt, open.arrivedAt)))));
    m_parts.journal.count("callers_left_total", it->second->route.name, 1);
    if (it->second->holdsTokens && it->second->sends == 0) {
        m_parts.allowances.refund(it->second->customer, it->second->cost);
    }
    close(request);
}

void RequestFlow::sweep()
{
    const absl::Time now = m_parts.timers.now();
    std::vector<Number> due;
    std::vector<Number> silent;
    for (const auto &entry : m_open) {
        const Open &open = *entry.second;
        if (open.deadline <= now) {
            due.push_back(entry.first);
        } else if (open.run != 0 && mayRepeat(open)) {
            const absl::Duration limit = std::max(MIN_SILENCE, open.route.latencyObjective * SILENCE_OBJECTIVES);
            if (now - open.lastDataAt > limit) {
                silent.push_back(entry.first);
            }
        }
    }
    for (const Number number : due) {
        const auto it = m_open.find(number);
        if (it == m_open.end()) {
            continue;
        }
        Open &open = *it->second;
        const bool hasRun = open.run != 0 || open.mayHaveRun;
        open.mayHaveRun = hasRun;
        cancelRun(open);
        fail(open,
            hasRun ? core::makeError(core::ErrorKind::BackendTimeout, "No whole answer came within the time limit.")
                   : core::makeError(core::ErrorKind::DeadlineUnreachable, "The request waited until its time limit."));
    }
    for (const Number number : silent) {
        const auto it = m_open.find(number);
        if (it != m_open.end()) {
            checkSilence(*it->second, now);
        }
    }
}

} // namespace snipeferry::gateway
