#include "snipeferry/gateway/forwardreceiver.h"

#include "snipeferry/gateway/requestflow.h"
#include "snipeferry/gateway/routetable.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace snipeferry::gateway {

namespace {

constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(100);
/** Time for the answer's way back to the origin. A request with less time left is refused. */
constexpr absl::Duration RETURN_TIME = absl::Milliseconds(60);
/** Lowest HTTP status of an error answer. */
constexpr int MIN_ERROR_STATUS = 400;
/** Lowest HTTP status that means a failure of the server. */
constexpr int MIN_SERVER_ERROR_STATUS = 500;
constexpr int EVENT_STREAM_STATUS = 200;
/** How long a run that may not be repeated goes on without a link to its origin, and how long its answer is kept after its end. */
constexpr absl::Duration LINK_RETURN_TIME = absl::Seconds(6);
/** Longest answer that is kept for the case that its link is lost. */
constexpr std::size_t MAX_KEPT_ANSWER_BYTES = 65536;
/** Length of the longest mark at the end of an event. */
constexpr std::size_t EVENT_MARK_BYTES = 4;

/** Whether an event ends within the bytes. */
bool endsEvent(const std::string &bytes)
{
    return absl::StrContains(bytes, "\n\n") || absl::StrContains(bytes, "\r\n\r\n");
}

} // namespace

ForwardReceiver::ForwardReceiver(core::TimerService &timers, BackendTable &backends, ServerPaths &paths, ServerRestarts &restarts, FleetView &fleet,
    RolloutGuard &rollouts, PromptQuarantine &quarantine, const HeaderCodec &headers, RunNumbers &runNumbers, RunTransport &runs, FleetLinks &links,
    Journal &journal)
    : m_timers(timers),
      m_backends(backends),
      m_paths(paths),
      m_restarts(restarts),
      m_fleet(fleet),
      m_rollouts(rollouts),
      m_quarantine(quarantine),
      m_headers(headers),
      m_runNumbers(runNumbers),
      m_runs(runs),
      m_links(links),
      m_journal(journal),
      m_sweepTimer(timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

std::size_t ForwardReceiver::openCount() const
{
    return m_forwardedRuns.size();
}

ForwardReceiver::Origin ForwardReceiver::originOf(const core::InstanceId &instance, Number number) const
{
    return {instance, m_fleet.linkedProcess(instance), number};
}

Number ForwardReceiver::findRun(const Origin &origin) const
{
    const auto it = std::find_if(m_forwardedRuns.begin(), m_forwardedRuns.end(), [&origin](const auto &entry) { return entry.second.origin == origin; });
    return it == m_forwardedRuns.end() ? 0 : it->first;
}

bool ForwardReceiver::sendTo(const Origin &origin, const FleetMessage &message)
{
    return m_fleet.linkedProcess(origin.instance) == origin.process && m_links.send(origin.instance, message);
}

void ForwardReceiver::refuse(const Origin &origin, const core::RequestId &request, const std::string &reason)
{
    m_journal.log(core::LogEvent{"forward_refused", {}}.with("request", request.value()).with("from", origin.instance.value()).with("reason", reason));
    sendTo(origin, ForwardFailed{origin.number, false, reason});
}

void ForwardReceiver::handle(const core::InstanceId &from, const ForwardRequest &message)
{
    const Origin origin = originOf(from, message.number);
    // The region that would run the request checks itself that it is permitted.
    if (!isHomeRegion(message.homeRegions, m_fleet.self().region)) {
        refuse(origin, message.request.id, "region_not_allowed");
        return;
    }
    if (message.timeLeft <= RETURN_TIME) {
        refuse(origin, message.request.id, "too_late");
        return;
    }
    const absl::Time now = m_timers.now();
    if (now >= m_refuseNewFrom || now + message.timeLeft > m_stopAt) {
        refuse(origin, message.request.id, core::errorAnswer(core::ErrorKind::InstanceDraining).name);
        return;
    }
    if (m_paths.isCutOff(message.service)) {
        refuse(origin, message.request.id, REASON_CUT_OFF);
        return;
    }
    const RunContent content(message.request.promptParts, message.request.fingerprint);
    const QuarantinedPart *quarantined = m_quarantine.find(message.service, content);
    if (quarantined != nullptr) {
        const bool isRequest = isRequestFingerprint(quarantined->key.part);
        refuse(origin, message.request.id, core::errorAnswer(isRequest ? core::ErrorKind::RequestQuarantined : core::ErrorKind::PromptQuarantined).name);
        return;
    }
    ServerQuery query;
    query.service = message.service;
    const VersionChoice permitted = m_rollouts.permitted(message.service, message.version);
    query.version = permitted.only;
    query.excludedVersions = permitted.never;
    query.excludedVersions.insert(query.excludedVersions.end(), message.excludedVersions.begin(), message.excludedVersions.end());
    if (!message.excludedVersion.isEmpty()) {
        query.excludedVersions.push_back(message.excludedVersion);
    }
    query.priority = message.priority;
    query.promptTokens = message.request.promptTokens;
    query.promptParts = message.request.promptParts;
    query.ownTokens = ownTokensOf(message.request);
    const core::Expected<ServerChoice> choice = m_backends.choose(query);
    if (!choice) {
        refuse(origin, message.request.id, core::errorAnswer(choice.error().kind).name);
        return;
    }

    const Number run = m_runNumbers.next();
    ForwardedRun forwardedRun;
    forwardedRun.origin = origin;
    forwardedRun.request = message.request.id;
    forwardedRun.server = choice->server;
    forwardedRun.service = message.service;
    forwardedRun.route = message.route;
    forwardedRun.version = m_backends.find(choice->server)->version;
    forwardedRun.priority = message.priority;
    forwardedRun.customer = message.customer;
    forwardedRun.isEngineRun = message.isStream || !message.request.promptParts.empty() || message.request.promptTokens > 0;
    forwardedRun.unreadTokens = choice->unreadTokens;
    forwardedRun.ownTokens = query.ownTokens;
    forwardedRun.expectedTime = choice->nominalEstimate;
    forwardedRun.isStream = message.isStream;
    forwardedRun.promptParts = message.request.promptParts;
    forwardedRun.content = content;
    forwardedRun.fingerprint = message.request.fingerprint;
    forwardedRun.sent.isKept = !message.isRepeatable;
    forwardedRun.startedAt = now;
    forwardedRun.deadline = now + message.timeLeft;
    m_forwardedRuns.emplace(run, forwardedRun);
    RunHeaders headers;
    headers.server = choice->server;
    headers.customer = message.customer;
    headers.timeLimit = message.timeLeft - RETURN_TIME;
    headers.priority = message.priority;
    headers.lastEventId = message.request.lastEventId;
    headers.memorySource = choice->memorySource;
    HttpRequest request = message.request.http;
    m_headers.encodeRun(request, headers);
    const serverload::RunStart start = m_backends.started(choice->server, message.priority, choice->unreadTokens, message.request.promptParts, query.ownTokens);
    if (choice->memorySource.empty()) {
        m_forwardedRuns.at(run).serverStart = start;
    }
    m_journal.log(core::LogEvent{"forward_started", {}}
                      .with("request", message.request.id.value())
                      .with("from", from.value())
                      .with("server", choice->server.value())
                      .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice->estimate)))
                      .with("saved_ms", absl::StrCat(absl::ToInt64Milliseconds(choice->saved)))
                      .with("wait_ms", absl::StrCat(absl::ToInt64Milliseconds(choice->waitCost)))
                      .with("cold_ms", absl::StrCat(absl::ToInt64Milliseconds(m_backends.coldLeft(choice->server))))
                      .with("version", forwardedRun.version.value()));
    m_runs.start(run, *m_backends.find(choice->server), request, message.request.id, message.isRepeatable, m_backends.sendBy(choice->server));
}

void ForwardReceiver::end(Number run, RunEnd end)
{
    const auto it = m_forwardedRuns.find(run);
    if (it == m_forwardedRuns.end()) {
        return;
    }
    // A plain service runs what was sent to it, whether or not the answer is waited for.
    if (end == RunEnd::Cancelled && !it->second.isEngineRun) {
        countUsage(it->second);
    }
    const ForwardedRun &forwardedRun = it->second;
    if (end == RunEnd::Unreachable && m_paths.isInDoubt(forwardedRun.service)) {
        end = RunEnd::OwnFailure;
    }
    m_backends.finished(forwardedRun.server, forwardedRun.priority, forwardedRun.isAnswering ? 0 : forwardedRun.unreadTokens, end,
        m_timers.now() - forwardedRun.startedAt, forwardedRun.ownTokens);
    if (saysOfVersion(forwardedRun, end)) {
        const absl::Duration latency = forwardedRun.isAnswering ? forwardedRun.timeToFirstData : m_timers.now() - forwardedRun.startedAt;
        m_rollouts.observe(forwardedRun.service, forwardedRun.route, forwardedRun.version, end != RunEnd::Success, latency);
    }
    m_forwardedRuns.erase(it);
}

bool ForwardReceiver::saysOfVersion(const ForwardedRun &forwardedRun, RunEnd end) const
{
    if (end == RunEnd::Success) {
        return true;
    }
    const BackendServer *server = m_backends.find(forwardedRun.server);
    const bool isLeaving = server == nullptr || server->isDraining;
    const bool isPathInDoubt = end != RunEnd::ServerError && m_paths.isInDoubt(forwardedRun.service);
    if (end == RunEnd::Refused || end == RunEnd::OwnFailure || isLeaving || isPathInDoubt
        || m_quarantine.isSuspect(forwardedRun.service, forwardedRun.promptParts)) {
        return false;
    }
    const bool isSilent = !forwardedRun.isAnswering && m_timers.now() >= forwardedRun.deadline;
    return end != RunEnd::Cancelled || isSilent;
}

void ForwardReceiver::handle(const core::InstanceId &from, const ForwardCancel &message)
{
    const Number run = findRun(originOf(from, message.number));
    if (run != 0) {
        drop(run, "cancelled");
    }
}

void ForwardReceiver::drop(Number run, const std::string &reason)
{
    const ForwardedRun &forwardedRun = m_forwardedRuns.at(run);
    m_journal.log(core::LogEvent{"forward_cancelled", {}}
                      .with("request", forwardedRun.request.value())
                      .with("from", forwardedRun.origin.instance.value())
                      .with("server", forwardedRun.server.value())
                      .with("reason", reason)
                      .with("progress", answerProgressName(forwardedRun.progress))
                      .with("ran_ms", absl::StrCat(absl::ToInt64Milliseconds(m_timers.now() - forwardedRun.startedAt))));
    m_runs.cancel(run);
    end(run, RunEnd::Cancelled);
}

void ForwardReceiver::handle(const core::InstanceId &from, const ForwardFlow &message)
{
    const Number run = findRun(originOf(from, message.number));
    if (run != 0) {
        m_runs.setPaused(run, message.isPaused);
    }
}

void ForwardReceiver::handle(const core::InstanceId &from, const ForwardResume &message)
{
    const Origin origin = originOf(from, message.number);
    const Number run = findRun(origin);
    if (run != 0) {
        ForwardedRun &forwardedRun = m_forwardedRuns.at(run);
        forwardedRun.linkLostAt = absl::InfiniteFuture();
        logResumed(from, forwardedRun.request, message, forwardedRun.sent);
        if (forwardedRun.sent.isKept) {
            resend(origin, message, forwardedRun.sent);
        } else {
            breakOff(run, RunEnd::Cancelled, "answer_not_kept");
        }
        return;
    }
    for (const EndedRun &ended : m_endedRuns) {
        if (ended.origin == origin) {
            logResumed(from, ended.request, message, ended.sent);
            resend(origin, message, ended.sent);
            sendTo(origin, ForwardEnd{message.number, ended.sent.pieces.size()});
            return;
        }
    }
    sendTo(origin, ForwardFailed{message.number, true, "unknown_after_link_loss"});
}

void ForwardReceiver::logResumed(const core::InstanceId &from, const core::RequestId &request, const ForwardResume &message, const SentAnswer &sent)
{
    m_journal.log(core::LogEvent{"forward_resumed", {}}
                      .with("request", request.value())
                      .with("from", from.value())
                      .with("is_kept", sent.isKept ? "true" : "false")
                      .with("received", absl::StrCat(message.receivedPieces))
                      .with("sent", absl::StrCat(sent.pieces.size())));
}

void ForwardReceiver::resend(const Origin &origin, const ForwardResume &request, const SentAnswer &sent)
{
    if (sent.hasHead && !request.hasHead) {
        sendTo(origin, ForwardHead{request.number, sent.head});
    }
    for (std::uint64_t piece = request.receivedPieces; piece < sent.pieces.size(); ++piece) {
        sendTo(origin, ForwardData{request.number, piece, sent.pieces[piece]});
    }
}

void ForwardReceiver::breakOff(Number run, RunEnd runEnd, const std::string &reason)
{
    const ForwardedRun forwardedRun = m_forwardedRuns.at(run);
    m_runs.cancel(run);
    end(run, runEnd);
    m_journal.log(core::LogEvent{"forward_failed", {}}
                      .with("request", forwardedRun.request.value())
                      .with("server", forwardedRun.server.value())
                      .with("reason", reason)
                      .with("may_have_run", "true")
                      .with("progress", answerProgressName(forwardedRun.progress))
                      .with("shared_parts", describeSharedParts(forwardedRun.promptParts))
                      .with("fingerprint", forwardedRun.fingerprint));
    sendTo(forwardedRun.origin, ForwardFailed{forwardedRun.origin.number, true, reason});
}

void ForwardReceiver::linkUp(const core::InstanceId &peer)
{
    const ProcessId process = m_fleet.linkedProcess(peer);
    const auto isOfEarlierProcess = [&peer, &process](const Origin &origin) {
        return origin.instance == peer && origin.process != process;
    };
    m_endedRuns.erase(
        std::remove_if(m_endedRuns.begin(), m_endedRuns.end(), [&](const EndedRun &ended) { return isOfEarlierProcess(ended.origin); }), m_endedRuns.end());
    std::vector<Number> orphanedRuns;
    for (const auto &entry : m_forwardedRuns) {
        if (isOfEarlierProcess(entry.second.origin)) {
            orphanedRuns.push_back(entry.first);
        }
    }
    for (const Number run : orphanedRuns) {
        drop(run, "origin_restarted");
    }
}

void ForwardReceiver::linkDown(const core::InstanceId &peer)
{
    // The origin repeats what it may elsewhere. Other runs go on for a while, because the origin may only be silent.
    std::vector<Number> orphanedRuns;
    for (auto &entry : m_forwardedRuns) {
        if (entry.second.origin.instance != peer) {
            continue;
        }
        if (entry.second.sent.isKept) {
            entry.second.linkLostAt = m_timers.now();
        } else {
            orphanedRuns.push_back(entry.first);
        }
    }
    for (const Number run : orphanedRuns) {
        m_runs.cancel(run);
        end(run, RunEnd::Cancelled);
    }
}

void ForwardReceiver::beginDrain(absl::Time stopAt)
{
    m_refuseNewFrom = m_timers.now() + RequestFlow::DRAIN_GRACE;
    m_stopAt = stopAt;
}

void ForwardReceiver::setUsageCounter(duties::UsageCounter *usage)
{
    m_usage = usage;
}

void ForwardReceiver::countUsage(ForwardedRun &forwardedRun)
{
    if (m_usage == nullptr || forwardedRun.isUsageCounted || forwardedRun.customer.isEmpty()) {
        return;
    }
    forwardedRun.isUsageCounted = true;
    m_usage->began(forwardedRun.customer.value(), forwardedRun.isEngineRun ? m_timers.now() : forwardedRun.startedAt);
}

void ForwardReceiver::noteFirstData(ForwardedRun &forwardedRun)
{
    countUsage(forwardedRun);
    if (!forwardedRun.isAnswering) {
        forwardedRun.isAnswering = true;
        forwardedRun.timeToFirstData = m_timers.now() - forwardedRun.startedAt;
        // An error answer comes without the prompt being read.
        const serverload::RunStart start = forwardedRun.status < MIN_ERROR_STATUS ? forwardedRun.serverStart : serverload::RunStart();
        m_backends.answered(forwardedRun.server, forwardedRun.priority, forwardedRun.unreadTokens, forwardedRun.timeToFirstData, start);
        m_rollouts.observeFirstData(forwardedRun.service, forwardedRun.version, forwardedRun.timeToFirstData, forwardedRun.expectedTime);
    }
}

void ForwardReceiver::runHead(Number run, const HttpHead &head)
{
    const auto it = m_forwardedRuns.find(run);
    if (it == m_forwardedRuns.end()) {
        return;
    }
    if (!isAnswerStatus(head.status)) {
        breakOff(run, RunEnd::ServerError, REASON_BAD_STATUS);
        return;
    }
    const RunReport report = m_headers.decodeAnswer(head);
    m_paths.noteAnswer(it->second.service, it->second.server);
    m_restarts.noteAnswer(it->second.server);
    m_backends.noteReport(it->second.server, report, report.hasReceipt && head.status >= 200 && head.status < 300, it->second.startedAt, m_journal);
    if (report.isNotRun || report.isWrongServer) {
        const ForwardedRun forwardedRun = it->second;
        m_runs.cancel(run);
        end(run, RunEnd::Refused);
        refuse(forwardedRun.origin, forwardedRun.request, refusalReason(report));
        return;
    }
    it->second.progress = AnswerProgress::Begun;
    it->second.status = head.status;
    it->second.sent.hasHead = true;
    it->second.sent.head = head;
    sendTo(it->second.origin, ForwardHead{it->second.origin.number, head});
}

void ForwardReceiver::runData(Number run, const std::string &data)
{
    const auto it = m_forwardedRuns.find(run);
    if (it == m_forwardedRuns.end()) {
        return;
    }
    ForwardedRun &forwardedRun = it->second;
    m_restarts.noteAnswer(forwardedRun.server);
    noteFirstData(forwardedRun);
    if (endsEvent(forwardedRun.tail + data)) {
        forwardedRun.progress = AnswerProgress::Writing;
    }
    forwardedRun.tail = (forwardedRun.tail + data.substr(data.size() - std::min(data.size(), EVENT_MARK_BYTES)));
    forwardedRun.tail.erase(0, forwardedRun.tail.size() - std::min(forwardedRun.tail.size(), EVENT_MARK_BYTES));
    SentAnswer &sent = forwardedRun.sent;
    sent.bytes += data.size();
    if (sent.isKept && sent.bytes <= MAX_KEPT_ANSWER_BYTES) {
        sent.pieces.push_back(data);
    } else {
        sent.isKept = false;
        sent.pieces = {};
    }
    const bool isSent = sendTo(forwardedRun.origin, ForwardData{forwardedRun.origin.number, forwardedRun.sentPieces++, data});
    if (!isSent && !(sent.isKept && forwardedRun.linkLostAt != absl::InfiniteFuture())) {
        breakOff(run, RunEnd::Cancelled, "link_full");
    }
}

void ForwardReceiver::runEnd(Number run, AnswerEnd answerEnd)
{
    const auto it = m_forwardedRuns.find(run);
    if (it == m_forwardedRuns.end()) {
        return;
    }
    // A stream that ends with its connection in the middle of an event, or before its first one, is not whole. The origin is not told how the answer ended.
    const bool isEventStream = it->second.isStream && it->second.status == EVENT_STREAM_STATUS;
    const bool endsWithEvent = absl::EndsWith(it->second.tail, "\n\n") || absl::EndsWith(it->second.tail, "\r\n\r\n");
    if (answerEnd == AnswerEnd::ConnectionClosed && isEventStream && !endsWithEvent) {
        noteFailedRun(it->second, REASON_ANSWER_BROKEN_OFF);
        breakOff(run, RunEnd::Unreachable, REASON_ANSWER_BROKEN_OFF);
        return;
    }
    const BackendServer *server = m_backends.find(it->second.server);
    const bool hasEndedWell = isEventStream ? endsWithEvent : it->second.status < MIN_SERVER_ERROR_STATUS;
    if (hasEndedWell && server != nullptr) {
        m_quarantine.addEndedRun(*server, it->second.content, it->second.startedAt, answerEnd);
    }
    noteFirstData(it->second);
    sendTo(it->second.origin, ForwardEnd{it->second.origin.number, it->second.sentPieces});
    if (it->second.sent.isKept) {
        m_endedRuns.push_back({it->second.origin, it->second.request, m_timers.now(), std::move(it->second.sent)});
    }
    end(run, it->second.status >= MIN_SERVER_ERROR_STATUS ? RunEnd::ServerError : RunEnd::Success);
}

void ForwardReceiver::noteFailedRun(const ForwardedRun &forwardedRun, const std::string &reason)
{
    const BackendServer *server = m_backends.find(forwardedRun.server);
    if (server == nullptr) {
        return;
    }
    m_paths.noteFailedRun(*server, reason);
    m_restarts.noteFailedRun(*server, reason);
    if (reason != REASON_CONNECT_REFUSED || !m_paths.isInDoubt(forwardedRun.service)) {
        m_quarantine.addFailedRun(*server, forwardedRun.content, forwardedRun.progress, reason);
    }
}

void ForwardReceiver::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    const auto it = m_forwardedRuns.find(run);
    if (it == m_forwardedRuns.end()) {
        return;
    }
    // A request that was handed over and not refused may have begun; its answer is lost.
    if (mayHaveRun && !isUnreached(reason)) {
        countUsage(it->second);
    }
    const ForwardedRun forwardedRun = it->second;
    noteFailedRun(forwardedRun, reason);
    end(run, endOfFailedRun(reason));
    m_journal.log(core::LogEvent{"forward_failed", {}}
                      .with("request", forwardedRun.request.value())
                      .with("server", forwardedRun.server.value())
                      .with("reason", reason)
                      .with("may_have_run", mayHaveRun ? "true" : "false")
                      .with("progress", answerProgressName(forwardedRun.progress))
                      .with("shared_parts", describeSharedParts(forwardedRun.promptParts))
                      .with("fingerprint", forwardedRun.fingerprint));
    sendTo(forwardedRun.origin, ForwardFailed{forwardedRun.origin.number, mayHaveRun, reason});
}

void ForwardReceiver::sweep()
{
    const absl::Time now = m_timers.now();
    const auto isOld = [now](const EndedRun &ended) {
        return now - ended.endedAt > LINK_RETURN_TIME;
    };
    m_endedRuns.erase(std::remove_if(m_endedRuns.begin(), m_endedRuns.end(), isOld), m_endedRuns.end());
    std::vector<Number> overdue;
    for (const auto &entry : m_forwardedRuns) {
        const bool isLinkGone = entry.second.linkLostAt != absl::InfiniteFuture() && now - entry.second.linkLostAt > LINK_RETURN_TIME;
        if (entry.second.deadline <= now || isLinkGone) {
            overdue.push_back(entry.first);
        }
    }
    for (const Number run : overdue) {
        const ForwardedRun forwardedRun = m_forwardedRuns.at(run);
        m_runs.cancel(run);
        end(run, RunEnd::Cancelled);
        sendTo(forwardedRun.origin, ForwardFailed{forwardedRun.origin.number, true, "too_late"});
    }
}

} // namespace snipeferry::gateway
