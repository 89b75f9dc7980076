#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Deadlines and silent runs are looked at this often; final answers are due half a second after a deadline. */
constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(50);
/** Sends of one request, those included that were refused without a run. */
constexpr int MAX_SENDS = 4;
/** Silence of a run after which a repeatable request is run elsewhere, as a multiple of its latency objective. */
constexpr double SILENCE_OBJECTIVES = 1.6;
constexpr absl::Duration MIN_SILENCE = absl::Milliseconds(1100);
/** Answers to plain calls are kept whole up to this size. */
constexpr std::size_t MAX_KEPT_BODY = 8U << 20U;
/** A key's confirmation counts for this much less than its bound: clocks drift and timers fire late. */
constexpr absl::Duration KEY_MARGIN = absl::Milliseconds(300);
/** Age of the deployment up to which unknown routes and keys are refused for good. */
constexpr absl::Duration FRESH_DEPLOYMENT = absl::Milliseconds(2500);
/** Callers keep a directory answer this long; until then a leaving instance serves them like any other. */
constexpr absl::Duration DRAIN_COURTESY = absl::Milliseconds(2200);
constexpr absl::Duration SOON = absl::Milliseconds(300);

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

void RequestFlow::configure(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
}

void RequestFlow::confirmDeployment(absl::Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

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
    core::Expected<void> admitted = admit(open);
    if (admitted) {
        admitted = place(open);
    }
    if (!admitted) {
        fail(open, admitted.error());
    }
    return number;
}

void RequestFlow::beginDrain(absl::Time stopAt)
{
    m_drainFrom = m_parts.timers.now() + DRAIN_COURTESY;
    m_stopAt = stopAt;
}

core::Expected<void> RequestFlow::checkDrain(const Open &open) const
{
    if (m_parts.timers.now() < m_drainFrom) {
        return {};
    }
    // With others of the region leaving too, what can still be answered in time is better served here than far away.
    if (!m_parts.fleet.hasReadyInstance(m_parts.fleet.self().region) && open.deadline <= m_stopAt) {
        return {};
    }
    return tl::make_unexpected(core::makeError(core::ErrorKind::InstanceDraining, "This instance is leaving.", absl::Milliseconds(50)));
}

bool RequestFlow::isDeploymentFresh() const
{
    return m_parts.timers.now() - m_confirmedAt < FRESH_DEPLOYMENT;
}

core::Expected<void> RequestFlow::identify(Open &open) const
{
    if (open.route.isOpen || !m_routes->hasCustomers()) {
        return {};
    }
    // A key counts only while no newer deployment can have withdrawn it for too long.
    if (m_parts.timers.now() - m_confirmedAt > m_settings.keyWithdrawalTime - KEY_MARGIN) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::PlatformUnavailable, "Keys cannot be checked against the newest deployment.", absl::Seconds(1)));
    }
    const Customer *customer = m_routes->findCustomerByKey(open.request.keyDigest);
    if (customer == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::PlatformUnavailable, "The key is not known yet.", SOON));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownKey, "The key is not known."));
    }
    open.customer = customer->id;
    open.customerHomes = customer->homeRegions;
    open.priority = customer->priority.value_or(open.route.priority);
    open.cost = 1;
    if (customer->countsTokens) {
        const double tokens = static_cast<double>(open.request.promptTokens + open.request.outputTokens);
        open.cost = open.request.hasTokenCounts ? tokens : customer->plainCost;
    }
    return {};
}

core::Expected<void> RequestFlow::admit(Open &open)
{
    if (m_routes == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "No deployment is known yet.", SOON));
    }
    const Route *route = m_routes->findRoute(open.request.host, open.request.http.target);
    if (route == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "The route is not known yet.", SOON));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownService, "No route matches host and path."));
    }
    open.route = *route;
    open.priority = route->priority;
    open.deadline = open.arrivedAt + std::min(route->timeout, open.request.timeLimit);
    open.events = EventStream(open.request.lastEventId);

    core::Expected<void> identified = identify(open);
    if (!identified) {
        return identified;
    }
    core::Expected<void> stays = checkDrain(open);
    if (!stays) {
        return stays;
    }

    // Choose the service by weight.
    int total = 0;
    for (const WeightedService &part : open.route.services) {
        total += part.weight;
    }
    if (total <= 0) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "The route leads to no service.", absl::Seconds(1)));
    }
    int drawn = std::uniform_int_distribution<int>(0, total - 1)(m_random);
    for (const WeightedService &part : open.route.services) {
        if (drawn < part.weight) {
            open.service = part.service;
            break;
        }
        drawn -= part.weight;
    }

    // Charge the customer last, so that what is refused for other reasons costs nothing.
    core::Expected<void> reserved = m_parts.allowances.reserve(open.customer, open.cost);
    if (!reserved) {
        return reserved;
    }
    open.holdsTokens = true;
    m_parts.repeats.noteRequest(open.service);
    return {};
}

std::vector<core::RegionId> RequestFlow::homesOf(const Open &open) const
{
    if (open.route.homeRegions.empty()) {
        return open.customerHomes;
    }
    if (open.customerHomes.empty()) {
        return open.route.homeRegions;
    }
    // Both bind.
    std::vector<core::RegionId> both;
    for (const core::RegionId &region : open.route.homeRegions) {
        if (isHomeRegion(open.customerHomes, region)) {
            both.push_back(region);
        }
    }
    return both;
}

bool RequestFlow::mayRunHere(const Open &open) const
{
    const core::RegionId &region = m_parts.fleet.self().region;
    return isHomeRegion(open.route.homeRegions, region) && isHomeRegion(open.customerHomes, region);
}

bool RequestFlow::mayRepeat(const Open &open) const
{
    return open.route.repeatRule == RepeatRule::Idempotent || (open.route.isStream && open.route.isResumable);
}

core::Expected<void> RequestFlow::place(Open &open)
{
    ServerQuery query;
    query.service = open.service;
    query.priority = open.priority;
    query.promptTokens = open.request.promptTokens;
    query.promptParts = open.request.promptParts;
    query.excluded = open.excludedServers;
    const VersionChoice versions = m_parts.rollouts.choose(open.service);
    query.version = versions.only;
    query.excludedVersion = versions.never;
    core::Expected<ServerChoice> here = tl::make_unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "This region may not run the request."));
    if (mayRunHere(open)) {
        here = m_parts.backends.choose(query);
    }

    // A backend server here that meets the objective goes first: other regions cost time and wide-area bytes.
    const absl::Duration objective = open.route.latencyObjective;
    const absl::Duration elapsed = m_parts.timers.now() - open.arrivedAt;
    if (here && here->estimate + elapsed <= objective * m_settings.spillShare) {
        startHere(open, *here);
        return {};
    }

    const std::vector<core::RegionId> homes = homesOf(open);
    const bool hasNoHome = homes.empty() && !(open.route.homeRegions.empty() && open.customerHomes.empty());
    core::Expected<RemoteChoice> there = tl::make_unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "No region may run the request."));
    if (!hasNoHome) {
        there = m_parts.fleet.choose(RemoteQuery{open.service, open.priority, open.request.promptTokens, homes, open.excludedInstances});
    }
    const absl::Duration bestHere = here ? here->estimate : absl::InfiniteDuration();
    const absl::Duration bestThere = there ? there->estimate : absl::InfiniteDuration();
    const absl::Duration best = std::min(bestHere, bestThere);
    if (hasNoHome) {
        // The homes of route and customer have no region in common; no time to come back changes that.
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No region may run the request."));
    }
    if (best == absl::InfiniteDuration()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server can take the request now.", SOON));
    }
    // The time that a prompt of its own size takes is no reason to refuse it.
    const absl::Duration bestWait = bestThere < bestHere ? there->wait : here->wait;
    if (bestWait > objective * m_settings.refuseShare || best > open.deadline - m_parts.timers.now()) {
        m_parts.journal.log(event("places_full", open)
                                .with("service", open.service.value())
                                .with("here_ms", here ? absl::StrCat(absl::ToInt64Milliseconds(bestHere)) : core::errorAnswer(here.error().kind).name)
                                .with("there_ms", there ? absl::StrCat(absl::ToInt64Milliseconds(bestThere)) : core::errorAnswer(there.error().kind).name)
                                .with("wait_ms", absl::StrCat(absl::ToInt64Milliseconds(bestWait)))
                                .with("objective_ms", absl::StrCat(absl::ToInt64Milliseconds(objective)))
                                .with("state", here ? m_parts.backends.describe(here->server) : std::string()));
        const absl::Duration wait = std::max(SOON, bestWait - objective);
        return tl::make_unexpected(core::makeError(core::ErrorKind::Overloaded, "Every permitted place is full.", wait));
    }
    if (bestThere < bestHere) {
        startThere(open, *there, versions);
    } else {
        startHere(open, *here);
    }
    return {};
}

void RequestFlow::startHere(Open &open, const ServerChoice &choice)
{
    const absl::Time now = m_parts.timers.now();
    open.run = nextRunNumber();
    open.server = choice.server;
    open.instance = core::InstanceId();
    open.unreadTokens = choice.unreadTokens;
    open.version = m_parts.backends.find(choice.server)->version;
    open.runStartedAt = now;
    open.lastDataAt = now;
    open.isAnswering = false;
    ++open.sends;
    m_requestOfRun[open.run] = open.number;

    RunHeaders headers;
    headers.server = choice.server;
    headers.customer = open.customer;
    headers.timeLimit = open.deadline - now;
    headers.priority = open.priority;
    headers.lastEventId = open.events.lastEventId();
    HttpRequest request = open.request.http;
    m_parts.headers.encodeRun(request, headers);
    m_parts.backends.started(choice.server, open.priority, choice.unreadTokens, open.request.promptParts);
    m_parts.journal.log(event("run_started", open)
                            .with("server", choice.server.value())
                            .with("send", absl::StrCat(open.sends))
                            .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.estimate)))
                            .with("unread_tokens", absl::StrCat(choice.unreadTokens)));
    m_parts.runs.start(open.run, *m_parts.backends.find(choice.server), request, open.request.id, mayRepeat(open));
}

void RequestFlow::startThere(Open &open, const RemoteChoice &choice, const VersionChoice &versions)
{
    const absl::Time now = m_parts.timers.now();
    open.run = nextRunNumber();
    open.server = core::BackendServerId();
    open.instance = choice.instance;
    open.runStartedAt = now;
    open.lastDataAt = now;
    open.isAnswering = false;
    open.pieces = 0;
    ++open.sends;
    m_requestOfRun[open.run] = open.number;

    ForwardRequest forward;
    forward.number = open.run;
    forward.request = open.request;
    forward.request.keyDigest.clear();
    forward.request.lastEventId = open.events.lastEventId();
    forward.service = open.service;
    forward.route = open.route.name;
    forward.version = versions.only;
    forward.excludedVersion = versions.never;
    forward.customer = open.customer;
    forward.homeRegions = homesOf(open);
    forward.isRepeatable = mayRepeat(open);
    forward.isStream = open.route.isStream;
    forward.priority = open.priority;
    forward.timeLeft = open.deadline - now;
    m_parts.fleet.forwardStarted(choice.instance, open.service, open.request.promptTokens);
    m_parts.journal.log(event("forwarded", open)
                            .with("instance", choice.instance.value())
                            .with("region", choice.region.value())
                            .with("send", absl::StrCat(open.sends))
                            .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.estimate))));
    m_parts.journal.count("requests_forwarded_total", choice.region.value(), 1);
    if (!m_parts.links.send(choice.instance, forward)) {
        tryAgain(open.number, false, RunEnd::Unreachable, "no_link");
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

void RequestFlow::endRun(Open &open, RunEnd end)
{
    if (open.run == 0) {
        return;
    }
    if (!open.server.isEmpty()) {
        m_parts.backends.finished(open.server, open.priority, open.isAnswering ? 0 : open.unreadTokens, end);
        if (end != RunEnd::Cancelled && end != RunEnd::Refused) {
            const absl::Duration latency = open.isAnswering ? open.firstAnswer : m_parts.timers.now() - open.runStartedAt;
            m_parts.rollouts.observe(open.service, open.route.name, open.version, end != RunEnd::Success, latency);
        }
    } else {
        m_parts.fleet.forwardEnded(open.instance);
    }
    m_requestOfRun.erase(open.run);
    open.run = 0;
}

void RequestFlow::stopTransport(const Open &open)
{
    if (open.run == 0) {
        return;
    }
    if (!open.server.isEmpty()) {
        m_parts.runs.cancel(open.run);
    } else {
        m_parts.links.send(open.instance, ForwardCancel{open.run});
    }
}

void RequestFlow::cancelRun(Open &open)
{
    stopTransport(open);
    endRun(open, RunEnd::Cancelled);
}

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
                            .with("total_ms", absl::StrCat(absl::ToInt64Milliseconds(m_parts.timers.now() - open.arrivedAt))));
    m_parts.journal.count("requests_answered_total", open.route.name, 1);
    close(open.number);
}

void RequestFlow::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    Open *open = byRun(run);
    if (open != nullptr) {
        tryAgain(open->number, mayHaveRun, RunEnd::Unreachable, reason);
    }
}

bool RequestFlow::resume(Open &open)
{
    const bool hasSends = open.sends < MAX_SENDS && open.runs < open.route.maxAttempts;
    if (!open.route.isResumable || !hasSends || open.deadline <= m_parts.timers.now() || !m_parts.repeats.tryTake(open.service)) {
        return false;
    }
    open.events.dropPartial();
    return place(open).has_value();
}

void RequestFlow::tryAgain(Number number, bool mayHaveRun, RunEnd end, const std::string &reason)
{
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return;
    }
    Open &open = *it->second;
    m_parts.journal.log(event("run_failed", open)
                            .with("server", open.server.value())
                            .with("instance", open.instance.value())
                            .with("reason", reason)
                            .with("may_have_run", mayHaveRun ? "true" : "false"));
    m_parts.journal.count("runs_failed_total", reason, 1);
    if (!open.server.isEmpty()) {
        open.excludedServers.push_back(open.server);
    } else {
        open.excludedInstances.push_back(open.instance);
    }
    endRun(open, end);
    if (mayHaveRun) {
        ++open.runs;
        open.mayHaveRun = true;
    }

    // A stream that has begun goes on elsewhere or breaks off.
    if (open.hasBegun) {
        if (!resume(open)) {
            m_parts.journal.log(event("stream_broken_off", open).with("events", absl::StrCat(open.events.eventCount())));
            open.sink->breakOff();
            close(number);
        }
        return;
    }
    open.hasHead = false;
    open.body.clear();
    open.events.dropPartial();
    const bool isPermitted = !mayHaveRun || (mayRepeat(open) && open.runs < open.route.maxAttempts);
    const bool isInTime = open.sends < MAX_SENDS && open.deadline > m_parts.timers.now();
    if (isPermitted && isInTime && m_parts.repeats.tryTake(open.service)) {
        const core::Expected<void> placed = place(open);
        if (placed) {
            return;
        }
        if (!open.mayHaveRun) {
            fail(open, placed.error());
            return;
        }
    }
    if (open.mayHaveRun) {
        fail(open, core::makeError(core::ErrorKind::BackendFailed, "The backend server failed."));
    } else {
        fail(open, core::makeError(core::ErrorKind::Overloaded, "No backend server took the request.", SOON));
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

void RequestFlow::checkSilence(Open &open, absl::Time now)
{
    // Only a run that can be repeated, with sends left, is given up for its silence.
    if (open.sends >= MAX_SENDS || open.runs + 1 >= open.route.maxAttempts) {
        open.lastDataAt = now;
        return;
    }
    stopTransport(open);
    tryAgain(open.number, true, RunEnd::Unreachable, "silent");
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
