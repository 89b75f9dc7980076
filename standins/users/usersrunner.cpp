#include "users/usersrunner.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <stdexcept>

namespace snipeferry::standins {

namespace {

/** Filler of an answer that never ends: one write, the writes that wait for the client, and the pause between two. */
constexpr std::size_t FILLER_BYTES = 65536;
constexpr std::size_t MAX_UNSENT_FILLER_BYTES = 262144;
constexpr absl::Duration FILLER_GAP = absl::Milliseconds(1);

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int MISDIRECTED = 421;
constexpr int FAILURE = 500;
constexpr int UNAVAILABLE = 503;
constexpr int SLOWNESS = 20;
constexpr absl::Duration IDLE_TIMEOUT = absl::Seconds(4);
constexpr std::size_t PLAIN_BODY_BYTES = 800;
/** Time between the head of an answer and the crash of a runner that begins to write it. */
constexpr absl::Duration CRASH_DELAY = absl::Milliseconds(20);

std::string headerOf(const gateway::HttpRequest &request, const char *name)
{
    for (const gateway::Header &header : request.headers) {
        if (absl::EqualsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

/** Number of a stream's events: the tokens to generate; 0 for a request without token counts. */
int eventCount(const gateway::HttpRequest &request)
{
    const std::pair<std::string, std::string> counts = absl::StrSplit(headerOf(request, "Token-Counts"), absl::MaxSplits(',', 1));
    int events = 0;
    return absl::SimpleAtoi(counts.second, &events) ? events : 0;
}

} // namespace

std::string wholeBodyOf(const std::string &attempt)
{
    std::string body = absl::StrCat("answer to ", attempt, " ");
    body.resize(PLAIN_BODY_BYTES, '.');
    return body;
}

std::string eventText(int number)
{
    return absl::StrCat("id: ", number, "\ndata: piece ", number, "\n\n");
}

UsersRunner::UsersRunner(net::EventLoop &loop, UsersStore &store, RunnerSettings settings, Observer observer)
    : m_loop(loop),
      m_store(store),
      m_settings(std::move(settings)),
      m_observer(std::move(observer)),
      m_server(loop, [this, alive = std::weak_ptr<bool>(m_alive)](const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange) {
          if (!alive.expired()) {
              take(request, exchange);
          }
      })
{
    gateway::CallerLimits limits;
    limits.idleTimeout = IDLE_TIMEOUT;
    m_server.setLimits(limits);
    const core::Expected<int> port = m_server.listen("127.0.0.1:0");
    if (!port) {
        throw std::runtime_error(port.error().message);
    }
    m_address = absl::StrCat("127.0.0.1:", *port);
}

const RunnerSettings &UsersRunner::settings() const
{
    return m_settings;
}

const std::string &UsersRunner::address() const
{
    return m_address;
}

void UsersRunner::announce(const std::string &announcedAddress)
{
    m_announcedAddress = announcedAddress;
    m_state = "ready";
    writeEntry();
}

void UsersRunner::announceDraining()
{
    m_state = "draining";
    writeEntry();
}

void UsersRunner::withdraw()
{
    m_store.remove("servers/" + m_settings.id);
}

void UsersRunner::writeEntry()
{
    const nlohmann::json entry = {{"service", m_settings.service}, {"address", m_announcedAddress}, {"zone", m_settings.zone}, {"version", m_settings.version},
        {"slots", m_settings.slots}, {"state", m_state}, {"coldLeftMs", 0}, {"callSeq", 0}};
    m_store.put("servers/" + m_settings.id, entry.dump());
}

void UsersRunner::restartAs(const std::string &id, const std::string &version)
{
    abortRuns();
    m_settings.id = id;
    m_settings.version = version;
    m_fault = RunnerFault::None;
}

void UsersRunner::setFault(RunnerFault fault)
{
    m_fault = fault;
}

void UsersRunner::setCrashingPart(const std::string &part, std::function<void()> onCrash)
{
    m_crashingPart = part;
    m_onCrash = std::move(onCrash);
}

void UsersRunner::setRequestLimit(std::optional<double> perSecond)
{
    m_requestLimit = perSecond;
}

bool UsersRunner::holdsCrashingPart(const gateway::HttpRequest &request) const
{
    const std::string prefix = headerOf(request, "Prompt-Prefix");
    const std::vector<std::string> parts = absl::StrSplit(prefix, ',');
    return !m_crashingPart.empty()
        && std::any_of(parts.begin(), parts.end(), [this](const std::string &part) { return absl::StartsWith(part, m_crashingPart + ":"); });
}

void UsersRunner::abortRuns()
{
    m_waiting.clear();
    const std::vector<std::shared_ptr<Run>> runs = m_running;
    for (const std::shared_ptr<Run> &run : runs) {
        run->exchange->breakOff();
        finish(run, false);
    }
}

int UsersRunner::running() const
{
    return static_cast<int>(m_running.size());
}

void UsersRunner::take(const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange)
{
    if (request.target == m_settings.healthPath) {
        exchange->answer({m_state == "ready" ? OK : UNAVAILABLE, {{"Runner-Id", m_settings.id}}}, {});
        return;
    }

    // What it does not run, it says so.
    const std::string attempt = headerOf(request, "Attempt-Id");
    const std::string expected = headerOf(request, "Expect-Instance");
    const bool isFull = m_fault == RunnerFault::Full || m_waiting.size() >= static_cast<std::size_t>(m_settings.queue);
    if (attempt.empty() || (!expected.empty() && expected != m_settings.id) || isFull) {
        refuse(attempt.empty() ? BAD_REQUEST : isFull ? UNAVAILABLE : MISDIRECTED, exchange, attempt);
        return;
    }

    // The rest waits for a slot; most runners drop a request whose channel closes.
    const std::shared_ptr<Run> run = std::make_shared<Run>();
    run->exchange = exchange;
    m_seen.push_back(std::make_unique<RunSeen>());
    run->seen = m_seen.back().get();
    run->seen->request = request;
    run->lastEvent = eventCount(request);
    exchange->onClosed([this, weak = std::weak_ptr<Run>(run), alive = std::weak_ptr<bool>(m_alive)] {
        const std::shared_ptr<Run> left = weak.lock();
        if (left != nullptr && !alive.expired()) {
            m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), left), m_waiting.end());
            finish(left, false);
        }
    });
    m_waiting.push_back(run);
    startNext();
}

void UsersRunner::refuse(int status, const std::shared_ptr<net::HttpExchange> &exchange, const std::string &attempt) const
{
    exchange->answer({status, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}}, {});
}

void UsersRunner::startNext()
{
    while (!m_waiting.empty() && running() < m_settings.slots) {
        const std::shared_ptr<Run> run = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        m_running.push_back(run);
        start(run);
    }
}

void UsersRunner::start(const std::shared_ptr<Run> &run)
{
    RunSeen &seen = *run->seen;
    seen.runner = m_settings.id;
    seen.service = m_settings.service;
    seen.zone = m_settings.zone;
    seen.version = m_settings.version;
    seen.at = m_loop.timers().now();
    m_observer(seen);
    int last = 0;
    run->nextEvent = absl::SimpleAtoi(headerOf(seen.request, "Last-Event-Id"), &last) ? last + 1 : 1;
    run->timer = m_loop.timers().after(slowed(m_settings.workTime), [this, run] {
        switch (m_fault) {
        case RunnerFault::Silent:
            return;
        case RunnerFault::AnswerLost:
            run->exchange->breakOff();
            finish(run, false);
            return;
        case RunnerFault::Failure:
            run->exchange->answer(headFor(*run, FAILURE), "failed");
            finish(run, false);
            return;
        case RunnerFault::EndlessAnswer:
            run->exchange->begin(headFor(*run, OK));
            sendFiller(run);
            return;
        default:
            break;
        }
        if (run->lastEvent == 0) {
            run->exchange->answer(headFor(*run, OK), wholeBodyOf(headerOf(run->seen->request, "Attempt-Id")));
            finish(run, true);
            return;
        }
        run->exchange->begin(headFor(*run, OK));
        if (holdsCrashingPart(run->seen->request)) {
            run->timer = m_loop.timers().after(CRASH_DELAY, [this] {
                abortRuns();
                m_onCrash();
            });
            return;
        }
        sendEvent(run);
    });
}

void UsersRunner::sendFiller(const std::shared_ptr<Run> &run)
{
    if (run->exchange->unsentBytes() < MAX_UNSENT_FILLER_BYTES) {
        run->exchange->data(std::string(FILLER_BYTES, 'x'));
    }
    run->timer = m_loop.timers().after(FILLER_GAP, [this, run] { sendFiller(run); });
}

void UsersRunner::sendEvent(const std::shared_ptr<Run> &run)
{
    if (run->nextEvent > run->lastEvent) {
        run->exchange->finish();
        finish(run, true);
        return;
    }
    const std::string text = eventText(run->nextEvent);
    if (m_fault == RunnerFault::BrokenStream && run->nextEvent > run->lastEvent / 2) {
        run->exchange->data(text.substr(0, text.size() / 2));
        run->exchange->breakOff();
        finish(run, false);
        return;
    }
    run->exchange->data(text);
    ++run->nextEvent;
    run->timer = m_loop.timers().after(slowed(m_settings.eventGap), [this, run] { sendEvent(run); });
}

void UsersRunner::finish(const std::shared_ptr<Run> &run, bool isComplete)
{
    const auto it = std::find(m_running.begin(), m_running.end(), run);
    if (it == m_running.end()) {
        return;
    }
    m_running.erase(it);
    run->seen->isComplete = isComplete;
    run->seen->endedAt = m_loop.timers().now();
    run->timer.cancel();
    startNext();
}

gateway::HttpHead UsersRunner::headFor(const Run &run, int status) const
{
    const std::string attempt = headerOf(run.seen->request, "Attempt-Id");
    gateway::HttpHead head{status, {{"Attempt-Id", attempt}, {"Server-Seal", absl::StrCat(m_settings.id, ".", attempt)}}};
    head.headers.push_back({"Runner-Load", absl::StrCat(running(), ",", m_waiting.size(), ",", m_settings.slots)});
    if (m_requestLimit.has_value()) {
        head.headers.push_back({"Server-Limit", absl::StrCat(*m_requestLimit)});
    }
    head.headers.push_back({"Content-Type", run.lastEvent > 0 ? "text/event-stream" : "text/plain"});
    return head;
}

absl::Duration UsersRunner::slowed(absl::Duration time) const
{
    return m_fault == RunnerFault::Slow ? time * SLOWNESS : time;
}

} // namespace snipeferry::standins
