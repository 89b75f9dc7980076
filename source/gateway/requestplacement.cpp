#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Sends of one request, those included that were refused without a run. */
constexpr int MAX_SENDS = 4;

} // namespace

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
    headers.memorySource = choice.memorySource;
    HttpRequest request = open.request.http;
    m_parts.headers.encodeRun(request, headers);
    m_parts.backends.started(choice.server, open.priority, choice.unreadTokens, open.request.promptParts);
    m_parts.journal.log(event("run_started", open)
                            .with("server", choice.server.value())
                            .with("send", absl::StrCat(open.sends))
                            .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice.estimate)))
                            .with("unread_tokens", absl::StrCat(choice.unreadTokens))
                            .with("memory_source", choice.memorySource));
    m_parts.journal.count("runs_started_total", open.service.value(), 1);
    m_parts.journal.count("prompt_tokens_total", "unread", static_cast<double>(choice.unreadTokens));
    m_parts.journal.count("prompt_tokens_total", "kept", static_cast<double>(std::max<std::int64_t>(0, open.request.promptTokens - choice.unreadTokens)));
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
        m_parts.journal.count("requests_repeated_total", mayHaveRun ? "may_have_run" : "not_run", 1);
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

bool RequestFlow::resume(Open &open)
{
    const bool hasSends = open.sends < MAX_SENDS && open.runs < open.route.maxAttempts;
    if (!open.route.isResumable || !hasSends || open.deadline <= m_parts.timers.now() || !m_parts.repeats.tryTake(open.service)) {
        return false;
    }
    open.events.dropPartial();
    m_parts.journal.count("requests_repeated_total", "resumed", 1);
    return place(open).has_value();
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

} // namespace snipeferry::gateway
