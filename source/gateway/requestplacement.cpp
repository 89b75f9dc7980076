#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Time for which a request that is bound to some regions counts as one that may come again. */
constexpr absl::Duration BOUND_REQUEST_MEMORY = absl::Seconds(1);
/** Period of the comparison of bound requests with the waits in the region, which costs an estimate for each server and urgency level. */
constexpr absl::Duration BOUND_COMPARISON_PERIOD = absl::Milliseconds(100);
/** Part of an objective above which a wait is long: what is left is needed for a rising peak until requests have moved. */
constexpr double LONG_WAIT_SHARE = 0.5;

} // namespace

std::vector<core::RegionId> RequestFlow::permittedRegions(const OpenRequest &open) const
{
    if (open.route.homeRegions.empty()) {
        return open.customerHomeRegions;
    }
    if (open.customerHomeRegions.empty()) {
        return open.route.homeRegions;
    }
    // A region must be permitted by the route and by the customer.
    std::vector<core::RegionId> commonRegions;
    for (const core::RegionId &region : open.route.homeRegions) {
        if (isHomeRegion(open.customerHomeRegions, region)) {
            commonRegions.push_back(region);
        }
    }
    return commonRegions;
}

bool RequestFlow::mayRunHere(const OpenRequest &open) const
{
    const core::RegionId &region = m_dependencies.fleet.self().region;
    return isHomeRegion(open.route.homeRegions, region) && isHomeRegion(open.customerHomeRegions, region);
}

bool RequestFlow::mayRepeat(const OpenRequest &open) const
{
    return open.route.repeatRule == RepeatRule::Idempotent || (open.route.isStream && open.route.isResumable);
}

core::Expected<void> RequestFlow::checkQuarantine(const OpenRequest &open)
{
    const QuarantinedPart *part = m_dependencies.quarantine.find(open.service, open.content);
    if (part == nullptr) {
        return {};
    }
    m_dependencies.journal.log(makeLogEvent("part_refused", open)
                                   .with("part", part->key.part)
                                   .with("crashes", absl::StrCat(part->crashes))
                                   .with("last_crash_ms", absl::StrCat(absl::ToInt64Milliseconds(part->lastCrashAgo))));
    if (isRequestFingerprint(part->key.part)) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::RequestQuarantined, REQUEST_QUARANTINED_MESSAGE));
    }
    return tl::make_unexpected(core::makeError(core::ErrorKind::PromptQuarantined, PART_QUARANTINED_MESSAGE));
}

void RequestFlow::noteFailedRun(const OpenRequest &open, const std::string &reason)
{
    const BackendServer *server = open.server.isEmpty() ? nullptr : m_dependencies.backends.find(open.server);
    if (server == nullptr) {
        return;
    }
    m_dependencies.paths.noteFailedRun(*server, reason);
    m_dependencies.restarts.noteFailedRun(*server, reason);
    // A refused connection is a sign of a crash only if it is not this instance's path that is lost.
    if (reason != REASON_CONNECT_REFUSED || !m_dependencies.paths.isInDoubt(open.service)) {
        m_dependencies.quarantine.addFailedRun(*server, open.content, open.progress, reason);
    }
}

void RequestFlow::noteEndedRun(const OpenRequest &open, AnswerEnd end)
{
    const BackendServer *server = open.server.isEmpty() ? nullptr : m_dependencies.backends.find(open.server);
    if (server != nullptr) {
        m_dependencies.quarantine.addEndedRun(*server, open.content, open.runStartedAt, end);
    }
}

void RequestFlow::noteBoundRequest(const OpenRequest &open)
{
    const bool isBound = !open.route.homeRegions.empty() || !open.customerHomeRegions.empty();
    if (!isBound || !mayRunHere(open)) {
        return;
    }
    const absl::Time now = m_dependencies.timers.now();
    const auto added = m_boundRequests.try_emplace(open.service);
    BoundRequests &bound = added.first->second;
    if (added.second) {
        bound.seenAt.fill(absl::InfinitePast());
    }
    const std::size_t level = static_cast<std::size_t>(urgencyOf(open.priority));
    const bool isFirst = now - bound.seenAt[level] > BOUND_REQUEST_MEMORY;
    bound.objectives[level] = isFirst ? open.route.latencyObjective : std::min(bound.objectives[level], open.route.latencyObjective);
    bound.seenAt[level] = now;
}

bool RequestFlow::shouldMakeRoom(const OpenRequest &open, absl::Duration localWait)
{
    const auto it = m_boundRequests.find(open.service);
    const bool isBoundItself = !open.route.homeRegions.empty() || !open.customerHomeRegions.empty();
    if (it == m_boundRequests.end() || isBoundItself) {
        return false;
    }
    const absl::Time now = m_dependencies.timers.now();
    BoundRequests &bound = it->second;
    const auto isPresent = [&bound, now](std::size_t level) {
        return now - bound.seenAt[level] <= BOUND_REQUEST_MEMORY;
    };
    bool hasBound = false;
    for (std::size_t level = 0; level < bound.seenAt.size(); ++level) {
        hasBound = hasBound || isPresent(level);
    }
    if (!hasBound || localWait > open.route.latencyObjective * LONG_WAIT_SHARE) {
        return hasBound;
    }
    if (now - bound.comparedAt >= BOUND_COMPARISON_PERIOD) {
        const std::vector<absl::Duration> waits = m_dependencies.backends.leastWaits(open.service);
        bound.doWaitLong = false;
        for (std::size_t level = 0; level < bound.seenAt.size(); ++level) {
            const absl::Duration wait = level < waits.size() ? waits[level] : absl::InfiniteDuration();
            bound.doWaitLong = bound.doWaitLong || (isPresent(level) && wait > bound.objectives[level] * LONG_WAIT_SHARE);
        }
        bound.comparedAt = now;
    }
    return bound.doWaitLong;
}

core::Expected<void> RequestFlow::place(OpenRequest &open)
{
    core::Expected<void> quarantineCheck = checkQuarantine(open);
    if (!quarantineCheck) {
        return quarantineCheck;
    }
    noteBoundRequest(open);
    ServerQuery query;
    query.service = open.service;
    query.priority = open.priority;
    query.promptTokens = open.request.promptTokens;
    query.promptParts = open.request.promptParts;
    query.ownTokens = ownTokensOf(open.request);
    query.excluded = open.excludedServers;
    const VersionChoice versions = m_dependencies.rollouts.choose(
        open.service, [this, &open](const core::VersionId &version) { return m_dependencies.backends.hasVersion(open.service, version); });
    query.version = versions.only;
    query.excludedVersions = versions.never;
    core::Expected<ServerChoice> localChoice
        = tl::make_unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "The request may not run in this region."));
    if (mayRunHere(open)) {
        localChoice = m_dependencies.backends.choose(query);
        if (!m_dependencies.paths.mayDispatch(open.service)) {
            // Another instance of the region reaches the same backend servers.
            const core::Expected<RemoteChoice> neighbour = chooseNeighbour(open, localChoice);
            if (neighbour) {
                startForwarded(open, *neighbour, versions);
                return {};
            }
            if (m_dependencies.paths.isCutOff(open.service)) {
                localChoice = tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server can be reached from here."));
            }
        }
    }

    // Prefer a local backend server that answers well within the objective: another region costs a round trip and wide-area traffic.
    const absl::Duration objective = open.route.latencyObjective;
    const absl::Duration elapsed = m_dependencies.timers.now() - open.arrivedAt;
    if (localChoice && localChoice->estimate + elapsed <= objective * m_settings.spillShare) {
        startLocally(open, *localChoice);
        return {};
    }

    const std::vector<core::RegionId> allowedRegions = permittedRegions(open);
    const bool hasNoPermittedRegion = allowedRegions.empty() && !(open.route.homeRegions.empty() && open.customerHomeRegions.empty());
    core::Expected<RemoteChoice> remoteChoice
        = tl::make_unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "The route and the customer permit no common region."));
    if (!hasNoPermittedRegion) {
        remoteChoice = m_dependencies.fleet.choose(RemoteQuery{open.service, open.priority, open.request.promptTokens, allowedRegions, open.excludedInstances});
    }
    const absl::Duration localEstimate = localChoice ? localChoice->estimate : absl::InfiniteDuration();
    const absl::Duration remoteEstimate = remoteChoice ? remoteChoice->estimate : absl::InfiniteDuration();
    const absl::Duration bestEstimate = std::min(localEstimate, remoteEstimate);
    if (hasNoPermittedRegion) {
        // The route and the customer permit no common region. The error has no retry-after time, because a retry cannot succeed.
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "The route and the customer permit no common region."));
    }
    if (bestEstimate == absl::InfiniteDuration()) {
        if (!localChoice && localChoice.error().kind == core::ErrorKind::Overloaded) {
            return tl::make_unexpected(localChoice.error());
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server can take the request now.", SHORT_RETRY_DELAY));
    }
    // Only the wait counts: a request is not refused because its own prompt takes long to read.
    const absl::Duration bestWait = remoteEstimate < localEstimate ? remoteChoice->wait : localChoice->wait;
    const absl::Duration bound = objective * m_settings.refuseShare;
    // Waits below the smallest bound are no shortage. A request that is sent again has passed the bound of its customer before.
    const bool dependsOnShare = !open.customer.isEmpty() && open.sendCount == 0 && bestWait > bound * overload::CustomerShares::MIN_FACTOR && bestWait <= bound;
    const double factor = dependsOnShare ? m_dependencies.shares.boundFactor(open.service, open.priority, open.customer) : 1.0;
    if (bestWait > bound * factor || bestEstimate > open.deadline - m_dependencies.timers.now()) {
        return startLateOrRefuse(open, query, localChoice, remoteChoice, factor);
    }
    // A request that may run in any region leaves the servers here to those that may not.
    const bool canMove
        = remoteChoice && remoteEstimate >= localEstimate && remoteEstimate + elapsed <= objective && remoteEstimate <= localEstimate + REGION_ROUND_TRIP;
    const bool makesRoom = canMove && shouldMakeRoom(open, localChoice->wait);
    if (makesRoom) {
        m_dependencies.journal.count("requests_moved_for_bound_total", open.service.value(), 1);
        m_dependencies.journal.log(makeLogEvent("room_made", open)
                                       .with("here_ms", absl::StrCat(absl::ToInt64Milliseconds(localEstimate)))
                                       .with("there_ms", absl::StrCat(absl::ToInt64Milliseconds(remoteEstimate)))
                                       .with("wait_ms", absl::StrCat(absl::ToInt64Milliseconds(localChoice->wait)))
                                       .with("objective_ms", absl::StrCat(absl::ToInt64Milliseconds(objective))));
    }
    if (remoteEstimate < localEstimate || makesRoom) {
        startForwarded(open, *remoteChoice, versions);
    } else {
        startLocally(open, *localChoice);
    }
    return {};
}

core::Expected<void> RequestFlow::startLateOrRefuse(OpenRequest &open, const ServerQuery &query, const core::Expected<ServerChoice> &localChoice,
    const core::Expected<RemoteChoice> &remoteChoice, double factor)
{
    const absl::Duration timeLeft = open.deadline - m_dependencies.timers.now();
    const absl::Duration localEstimate = localChoice ? localChoice->estimate : absl::InfiniteDuration();
    const absl::Duration remoteEstimate = remoteChoice ? remoteChoice->estimate : absl::InfiniteDuration();
    const absl::Duration wait = remoteEstimate < localEstimate ? remoteChoice->wait : localChoice->wait;
    const absl::Duration bound = open.route.latencyObjective * m_settings.refuseShare * factor;
    const bool isWaitTooLong = wait > bound;
    const bool isBeyondShare = isWaitTooLong && factor < 1.0;
    const char *reason = !isWaitTooLong ? "time_limit" : isBeyondShare ? "share" : "wait";
    if (isWaitTooLong && !open.customer.isEmpty()) {
        // A late request finds no room in time either.
        m_dependencies.shares.noteRefusal(open.service, open.priority, workOf(open), factor);
    }
    if (m_settings.sendsLateRequests && !isBeyondShare && localChoice && startLate(open, query, *localChoice)) {
        return {};
    }
    m_dependencies.journal.log(
        makeLogEvent("places_full", open)
            .with("service", open.service.value())
            .with("urgency", absl::StrCat(open.priority))
            .with("customer", open.customer.value())
            .with("reason", reason)
            .with("here_ms", localChoice ? absl::StrCat(absl::ToInt64Milliseconds(localEstimate)) : core::errorAnswer(localChoice.error().kind).name)
            .with("there_ms", remoteChoice ? absl::StrCat(absl::ToInt64Milliseconds(remoteEstimate)) : core::errorAnswer(remoteChoice.error().kind).name)
            .with("wait_ms", absl::StrCat(absl::ToInt64Milliseconds(wait)))
            .with("bound_ms", absl::StrCat(absl::ToInt64Milliseconds(bound)))
            .with("factor", absl::StrCat(factor))
            .with("objective_ms", absl::StrCat(absl::ToInt64Milliseconds(open.route.latencyObjective)))
            .with("state", localChoice ? m_dependencies.backends.describe(localChoice->server) : std::string()));
    m_dependencies.journal.count("places_full_total", reason, 1);
    const std::optional<absl::Duration> retryAfter = m_refusalDelay.choose(wait - bound, timeLeft);
    return tl::make_unexpected(core::makeError(core::ErrorKind::Overloaded, "All permitted regions are overloaded.", retryAfter));
}

bool RequestFlow::startLate(OpenRequest &open, const ServerQuery &query, const ServerChoice &localChoice)
{
    const absl::Time now = m_dependencies.timers.now();
    ServerQuery lateQuery = query;
    lateQuery.priority = overload::LATE_RANK;
    const core::Expected<ServerChoice> lateChoice = m_dependencies.backends.choose(lateQuery);
    if (!lateChoice) {
        return false;
    }
    overload::LateCase lateCase;
    lateCase.route = open.route.name;
    lateCase.elapsed = now - open.arrivedAt;
    lateCase.timeLeft = open.deadline - now;
    lateCase.objective = open.route.latencyObjective;
    lateCase.pauseObjective = open.route.pauseObjective;
    lateCase.estimate = localChoice.estimate;
    lateCase.lateEstimate = lateChoice->estimate;
    lateCase.routePriority = open.route.priority;
    lateCase.mostUrgentPriority = m_routes->mostUrgentPriority(open.service);
    lateCase.runs = lateChoice->runs;
    lateCase.slots = m_dependencies.backends.find(lateChoice->server)->slots;
    const overload::LateDecision decision = m_lateRequests.decide(lateCase);
    m_dependencies.journal.count("late_decisions_total", overload::lateDecisionName(decision), 1);
    if (decision != overload::LateDecision::Send) {
        return false;
    }
    m_dependencies.journal.log(makeLogEvent("late_started", open)
                                   .with("service", open.service.value())
                                   .with("urgency", absl::StrCat(open.priority))
                                   .with("customer", open.customer.value())
                                   .with("server", lateChoice->server.value())
                                   .with("here_ms", absl::StrCat(absl::ToInt64Milliseconds(localChoice.estimate)))
                                   .with("late_ms", absl::StrCat(absl::ToInt64Milliseconds(lateChoice->estimate)))
                                   .with("elapsed_ms", absl::StrCat(absl::ToInt64Milliseconds(lateCase.elapsed)))
                                   .with("time_left_ms", absl::StrCat(absl::ToInt64Milliseconds(lateCase.timeLeft)))
                                   .with("objective_ms", absl::StrCat(absl::ToInt64Milliseconds(lateCase.objective)))
                                   .with("runs", absl::StrCat(lateCase.runs))
                                   .with("slots", absl::StrCat(lateCase.slots)));
    open.priority = overload::LATE_RANK;
    startLocally(open, *lateChoice);
    return true;
}

double RequestFlow::workOf(const OpenRequest &open)
{
    return open.request.hasTokenCounts ? std::max(1.0, static_cast<double>(open.request.promptTokens + open.request.outputTokens)) : 1.0;
}

core::Expected<RemoteChoice> RequestFlow::chooseNeighbour(const OpenRequest &open, const core::Expected<ServerChoice> &localChoice) const
{
    // A backend server that could not be reached from here is not offered again, though another instance may reach it.
    if (!localChoice && (localChoice.error().kind == core::ErrorKind::Overloaded || !m_dependencies.backends.hasServers(open.service))) {
        return tl::make_unexpected(localChoice.error());
    }
    core::Expected<RemoteChoice> neighbour = m_dependencies.fleet.chooseNeighbour(open.service, open.excludedInstances);
    if (!neighbour) {
        return neighbour;
    }
    neighbour->estimate = localChoice ? localChoice->estimate : absl::ZeroDuration();
    neighbour->wait = localChoice ? localChoice->wait : absl::ZeroDuration();
    if (neighbour->wait > open.route.latencyObjective * m_settings.refuseShare) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::Overloaded, "The region is overloaded.", SHORT_RETRY_DELAY));
    }
    return neighbour;
}

void RequestFlow::startLocally(OpenRequest &open, const ServerChoice &choice)
{
    const absl::Time now = m_dependencies.timers.now();
    open.run = m_dependencies.runNumbers.next();
    open.server = choice.server;
    open.instance = core::InstanceId();
    open.unreadTokens = choice.unreadTokens;
    open.expectedTime = choice.nominalEstimate;
    open.version = m_dependencies.backends.find(choice.server)->version;
    open.runStartedAt = now;
    open.lastDataAt = now;
    open.isAnswering = false;
    open.progress = AnswerProgress::NotBegun;
    ++open.sendCount;
    m_requestByRun[open.run] = open.number;

    RunHeaders headers;
    headers.server = choice.server;
    headers.customer = open.customer;
    headers.timeLimit = open.deadline - now;
    headers.priority = open.priority;
    headers.lastEventId = open.events.lastEventId();
    headers.memorySource = choice.memorySource;
    HttpRequest request = open.request.http;
    m_dependencies.headers.encodeRun(request, headers);
    open.serverStart = m_dependencies.backends.started(choice.server, open.priority, choice.unreadTokens, open.request.promptParts, ownTokensOf(open.request));
    if (!choice.memorySource.empty()) {
        // The time to the first data contains that for copying, so it says nothing about the reading rate.
        open.serverStart = {};
    }
    m_dependencies.journal.log(makeLogEvent("run_started", open)
                                   .with("server", choice.server.value())
                                   .with("send", absl::StrCat(open.sendCount))
                                   .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.estimate)))
                                   .with("unread_tokens", absl::StrCat(choice.unreadTokens))
                                   .with("saved_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.saved)))
                                   .with("wait_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.waitCost)))
                                   .with("cold_ms", absl::StrCat(absl::ToInt64Milliseconds(m_dependencies.backends.coldLeft(choice.server))))
                                   .with("version", open.version.value())
                                   .with("memory_source", choice.memorySource));
    m_dependencies.journal.count("runs_started_total", open.service.value(), 1);
    m_dependencies.journal.count("prompt_tokens_total", "unread", static_cast<double>(choice.unreadTokens));
    m_dependencies.journal.count(
        "prompt_tokens_total", "kept", static_cast<double>(std::max<std::int64_t>(0, open.request.promptTokens - choice.unreadTokens)));
    m_dependencies.runs.start(
        open.run, *m_dependencies.backends.find(choice.server), request, open.request.id, mayRepeat(open), m_dependencies.backends.sendBy(choice.server));
}

void RequestFlow::startForwarded(OpenRequest &open, const RemoteChoice &choice, const VersionChoice &versions)
{
    const absl::Time now = m_dependencies.timers.now();
    open.run = m_dependencies.runNumbers.next();
    open.server = core::BackendServerId();
    open.instance = choice.instance;
    open.instanceProcess = m_dependencies.fleet.linkedProcess(choice.instance);
    open.runStartedAt = now;
    open.lastDataAt = now;
    open.isAnswering = false;
    open.progress = AnswerProgress::NotBegun;
    open.receivedPieces = 0;
    open.isAwaitingResend = false;
    ++open.sendCount;
    m_requestByRun[open.run] = open.number;

    ForwardRequest forward;
    forward.number = open.run;
    forward.request = open.request;
    forward.request.keyDigest.clear();
    forward.request.lastEventId = open.events.lastEventId();
    forward.service = open.service;
    forward.route = open.route.name;
    forward.version = versions.only;
    // Instances of earlier builds know a single excluded version.
    forward.excludedVersion = versions.never.empty() ? core::VersionId() : versions.never.back();
    forward.excludedVersions = versions.never;
    forward.customer = open.customer;
    forward.homeRegions = permittedRegions(open);
    forward.isRepeatable = mayRepeat(open);
    forward.isStream = open.route.isStream;
    forward.priority = open.priority;
    forward.timeLeft = open.deadline - now;
    m_dependencies.fleet.forwardStarted(choice.instance, open.service, open.request.promptTokens);
    m_dependencies.journal.log(makeLogEvent("forwarded", open)
                                   .with("instance", choice.instance.value())
                                   .with("region", choice.region.value())
                                   .with("send", absl::StrCat(open.sendCount))
                                   .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.estimate))));
    m_dependencies.journal.count("requests_forwarded_total", choice.region.value(), 1);
    if (!m_dependencies.links.send(choice.instance, forward)) {
        retryOrFail(open.number, false, RunEnd::Unreachable, "no_link");
    }
}

void RequestFlow::endRun(OpenRequest &open, RunEnd end)
{
    if (open.run == 0) {
        return;
    }
    if (!open.server.isEmpty()) {
        // A plain service runs what was sent to it, whether or not the answer is waited for.
        if (end == RunEnd::Cancelled && !isEngineRun(open)) {
            countUsage(open);
        }
        // What an instance that is cut off does not reach says nothing about the backend servers.
        if (end == RunEnd::Unreachable && m_dependencies.paths.isInDoubt(open.service)) {
            end = RunEnd::OwnFailure;
        }
        const absl::Duration duration = m_dependencies.timers.now() - open.runStartedAt;
        m_dependencies.backends.finished(open.server, open.priority, open.isAnswering ? 0 : open.unreadTokens, end, duration, ownTokensOf(open.request));
        // A late run waits behind all others, which says nothing about the time that its version takes.
        const bool isLateSuccess = open.priority == overload::LATE_RANK && end == RunEnd::Success;
        if (!isLateSuccess && saysOfVersion(open, end)) {
            const absl::Duration latency = open.isAnswering ? open.timeToFirstData : duration;
            m_dependencies.rollouts.observe(open.service, open.route.name, open.version, end != RunEnd::Success, latency);
        }
    } else {
        m_dependencies.fleet.forwardEnded(open.instance);
    }
    m_requestByRun.erase(open.run);
    open.run = 0;
    open.isPaused = false;
}

bool RequestFlow::saysOfVersion(const OpenRequest &open, RunEnd end) const
{
    if (end == RunEnd::Success) {
        return true;
    }
    // A server that leaves breaks connections off, and a prompt part that crashes servers does so with any version. A whole request may have crashed only
    // this one.
    const BackendServer *server = m_dependencies.backends.find(open.server);
    const bool isLeaving = server == nullptr || server->isDraining;
    const bool isPathInDoubt = end != RunEnd::ServerError && m_dependencies.paths.isInDoubt(open.service);
    if (end == RunEnd::Refused || end == RunEnd::OwnFailure || isLeaving || isPathInDoubt
        || m_dependencies.quarantine.isSuspect(open.service, open.request.promptParts)) {
        return false;
    }
    // A run that was given up counts if it was silent for longer than a sound one is.
    return end != RunEnd::Cancelled || (!open.isAnswering && m_dependencies.timers.now() - open.runStartedAt > silenceLimit(open));
}

void RequestFlow::stopTransport(const OpenRequest &open)
{
    if (open.run == 0) {
        return;
    }
    if (!open.server.isEmpty()) {
        m_dependencies.runs.cancel(open.run);
    } else {
        sendCancel(open);
    }
}

void RequestFlow::sendCancel(const OpenRequest &open)
{
    if (!m_dependencies.links.send(open.instance, ForwardCancel{open.run})) {
        m_dependencies.journal.log(makeLogEvent("forward_cancel_lost", open).with("instance", open.instance.value()));
    }
}

void RequestFlow::cancelRun(OpenRequest &open)
{
    stopTransport(open);
    endRun(open, RunEnd::Cancelled);
}

void RequestFlow::retryOrFail(Number number, bool mayHaveRun, RunEnd end, const std::string &reason)
{
    const auto it = m_openRequests.find(number);
    if (it == m_openRequests.end()) {
        return;
    }
    OpenRequest &open = *it->second;
    m_dependencies.journal.log(makeLogEvent("run_failed", open)
                                   .with("server", open.server.value())
                                   .with("instance", open.instance.value())
                                   .with("reason", reason)
                                   .with("may_have_run", mayHaveRun ? "true" : "false")
                                   .with("progress", answerProgressName(open.progress))
                                   .with("shared_parts", describeSharedParts(open.request.promptParts))
                                   .with("fingerprint", open.request.fingerprint));
    m_dependencies.journal.count("runs_failed_total", reason, 1);
    m_dependencies.journal.count("runs_failed_by_progress_total", answerProgressName(open.progress), 1);
    if (!open.server.isEmpty()) {
        open.excludedServers.push_back(open.server);
    } else {
        open.excludedInstances.push_back(open.instance);
    }
    endRun(open, end);
    if (mayHaveRun) {
        ++open.possibleRuns;
        open.mayHaveRun = true;
    }
    if (closeIfCallerGone(open)) {
        return;
    }

    // The caller has already received part of the stream: resume it elsewhere or abort it.
    if (open.hasBegunAnswer) {
        if (reason == REASON_BRITTLE_SERVER_FULL || !resumeStream(open)) {
            m_dependencies.journal.log(makeLogEvent("stream_broken_off", open).with("events", absl::StrCat(open.events.eventCount())));
            open.sink->breakOff();
            close(number);
        }
        return;
    }
    open.hasHead = false;
    open.body.clear();
    open.events.dropPartial();
    m_answerMemory.update(answerSource(open), std::exchange(open.countedBytes, 0), 0);
    // No other backend server is tried with what probably ended this one.
    const bool isSuspect = mayHaveRun && m_dependencies.quarantine.isSuspect(open.service, open.content);
    const bool isPermitted = !mayHaveRun || (mayRepeat(open) && open.possibleRuns < open.route.maxAttempts && !isSuspect);
    const bool isInTime = open.sendCount < MAX_SENDS && open.deadline > m_dependencies.timers.now();
    // What has not reached a backend server does not count as a repeat there.
    const bool isBrittleServerFull = reason == REASON_BRITTLE_SERVER_FULL;
    const bool hasArrived = mayHaveRun || !isUnreached(reason);
    // Other backend servers of the service are no less full, and fail of being asked in turn.
    if (!isBrittleServerFull && isPermitted && isInTime && (!hasArrived || m_dependencies.repeats.tryTake(open.service))) {
        m_dependencies.journal.count("requests_repeated_total", mayHaveRun ? "may_have_run" : "not_run", 1);
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
        fail(open, core::makeError(core::ErrorKind::BackendFailed, "The backend server failed and may have run the request."));
    } else {
        const absl::Duration retryAfter = isBrittleServerFull ? FULL_RETRY_DELAY : SHORT_RETRY_DELAY;
        fail(open, core::makeError(core::ErrorKind::Overloaded, "No backend server accepted the request.", retryAfter));
    }
}

bool RequestFlow::resumeStream(OpenRequest &open)
{
    const bool hasAttemptsLeft = open.sendCount < MAX_SENDS && open.possibleRuns < open.route.maxAttempts;
    if (!open.route.isResumable || !hasAttemptsLeft || open.deadline <= m_dependencies.timers.now() || !m_dependencies.repeats.tryTake(open.service)) {
        return false;
    }
    open.events.dropPartial();
    open.isResumed = true;
    m_answerMemory.update(answerSource(open), std::exchange(open.countedBytes, 0), 0);
    m_dependencies.journal.count("requests_repeated_total", "resumed", 1);
    return place(open).has_value();
}

void RequestFlow::retrySilentRun(OpenRequest &open, absl::Time now)
{
    // Without another attempt left, keep the run and wait for the next silence timeout.
    if (open.sendCount >= MAX_SENDS || open.possibleRuns + 1 >= open.route.maxAttempts) {
        open.lastDataAt = now;
        return;
    }
    const BackendServer *server = open.server.isEmpty() ? nullptr : m_dependencies.backends.find(open.server);
    if (server != nullptr) {
        m_dependencies.paths.noteFailedRun(*server, REASON_SILENT);
    }
    stopTransport(open);
    retryOrFail(open.number, true, RunEnd::Unreachable, REASON_SILENT);
}

} // namespace snipeferry::gateway
