#include "snipeferry/gateway/forwardreceiver.h"

#include "snipeferry/gateway/requestflow.h"
#include "snipeferry/gateway/routetable.h"

#include <absl/strings/str_cat.h>

#include <vector>

namespace snipeferry::gateway {

namespace {

constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(100);
/** Time that the way back takes; a run that cannot answer before is not begun. */
constexpr absl::Duration WAY_BACK = absl::Milliseconds(60);
/** Lowest HTTP status of a failure of the server. */
constexpr int SERVER_ERROR = 500;

} // namespace

ForwardDesk::ForwardDesk(core::TimerService &timers, BackendTable &backends, FleetView &fleet, RolloutGuard &rollouts, const HeaderCodec &headers,
    RunTransport &runs, FleetLinks &links, Journal &journal)
    : m_timers(timers),
      m_backends(backends),
      m_fleet(fleet),
      m_rollouts(rollouts),
      m_headers(headers),
      m_runs(runs),
      m_links(links),
      m_journal(journal),
      m_sweep(timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

std::size_t ForwardDesk::openCount() const
{
    return m_guests.size();
}

void ForwardDesk::refuse(const core::InstanceId &to, Number number, const core::RequestId &request, const std::string &reason)
{
    m_journal.log(core::LogEvent{"forward_refused", {}}.with("request", request.value()).with("from", to.value()).with("reason", reason));
    m_links.send(to, ForwardFailed{number, false, reason});
}

void ForwardDesk::handle(const core::InstanceId &from, const ForwardRequest &message)
{
    // Residency is checked where the request would run.
    if (!isHomeRegion(message.homeRegions, m_fleet.self().region)) {
        refuse(from, message.number, message.request.id, "region_not_allowed");
        return;
    }
    if (message.timeLeft <= WAY_BACK) {
        refuse(from, message.number, message.request.id, "too_late");
        return;
    }
    ServerQuery query;
    query.service = message.service;
    query.version = message.version;
    query.excludedVersion = message.excludedVersion;
    query.priority = message.priority;
    query.promptTokens = message.request.promptTokens;
    query.promptParts = message.request.promptParts;
    const core::Expected<ServerChoice> choice = m_backends.choose(query);
    if (!choice) {
        refuse(from, message.number, message.request.id, core::errorAnswer(choice.error().kind).name);
        return;
    }

    // Start the run.
    const absl::Time now = m_timers.now();
    const Number run = nextRunNumber();
    Guest guest;
    guest.origin = from;
    guest.originNumber = message.number;
    guest.request = message.request.id;
    guest.server = choice->server;
    guest.service = message.service;
    guest.route = message.route;
    guest.version = m_backends.find(choice->server)->version;
    guest.priority = message.priority;
    guest.unreadTokens = choice->unreadTokens;
    guest.startedAt = now;
    guest.deadline = now + message.timeLeft;
    m_guests.emplace(run, guest);
    RunHeaders headers;
    headers.server = choice->server;
    headers.customer = message.customer;
    headers.timeLimit = message.timeLeft - WAY_BACK;
    headers.priority = message.priority;
    headers.lastEventId = message.request.lastEventId;
    headers.memorySource = choice->memorySource;
    HttpRequest request = message.request.http;
    m_headers.encodeRun(request, headers);
    m_backends.started(choice->server, message.priority, choice->unreadTokens, message.request.promptParts);
    m_journal.log(core::LogEvent{"forward_started", {}}
                      .with("request", message.request.id.value())
                      .with("from", from.value())
                      .with("server", choice->server.value())
                      .with("estimate_ms", absl::StrCat(absl::ToInt64Milliseconds(choice->estimate))));
    m_runs.start(run, *m_backends.find(choice->server), request, message.request.id, message.isRepeatable);
}

void ForwardDesk::end(Number run, RunEnd end)
{
    const auto it = m_guests.find(run);
    if (it == m_guests.end()) {
        return;
    }
    const Guest &guest = it->second;
    m_backends.finished(guest.server, guest.priority, guest.isAnswering ? 0 : guest.unreadTokens, end);
    if (end != RunEnd::Cancelled && end != RunEnd::Refused) {
        const absl::Duration latency = guest.isAnswering ? guest.firstAnswer : m_timers.now() - guest.startedAt;
        m_rollouts.observe(guest.service, guest.route, guest.version, end != RunEnd::Success, latency);
    }
    m_guests.erase(it);
}

void ForwardDesk::handle(const core::InstanceId &from, const ForwardCancel &message)
{
    for (const auto &entry : m_guests) {
        if (entry.second.origin == from && entry.second.originNumber == message.number) {
            const Number run = entry.first;
            m_runs.cancel(run);
            end(run, RunEnd::Cancelled);
            return;
        }
    }
}

void ForwardDesk::linkDown(const core::InstanceId &peer)
{
    std::vector<Number> orphans;
    for (const auto &entry : m_guests) {
        if (entry.second.origin == peer) {
            orphans.push_back(entry.first);
        }
    }
    for (const Number run : orphans) {
        m_runs.cancel(run);
        end(run, RunEnd::Cancelled);
    }
}

void ForwardDesk::noteAnswer(Guest &guest)
{
    if (!guest.isAnswering) {
        guest.isAnswering = true;
        guest.firstAnswer = m_timers.now() - guest.startedAt;
        m_backends.answered(guest.server, guest.priority, guest.unreadTokens, guest.firstAnswer);
    }
}

void ForwardDesk::runHead(Number run, const HttpHead &head)
{
    const auto it = m_guests.find(run);
    if (it == m_guests.end()) {
        return;
    }
    const RunReport report = m_headers.decodeAnswer(head);
    m_backends.reportLoad(it->second.server, report.running, report.waiting);
    if (report.isNotRun || report.isWrongServer) {
        const Guest guest = it->second;
        m_runs.cancel(run);
        end(run, RunEnd::Refused);
        refuse(guest.origin, guest.originNumber, guest.request, "refused_by_server");
        return;
    }
    it->second.status = head.status;
    m_links.send(it->second.origin, ForwardHead{it->second.originNumber, head});
}

void ForwardDesk::runData(Number run, const std::string &data)
{
    const auto it = m_guests.find(run);
    if (it == m_guests.end()) {
        return;
    }
    noteAnswer(it->second);
    m_links.send(it->second.origin, ForwardData{it->second.originNumber, it->second.pieces++, data});
}

void ForwardDesk::runEnd(Number run)
{
    const auto it = m_guests.find(run);
    if (it == m_guests.end()) {
        return;
    }
    noteAnswer(it->second);
    m_links.send(it->second.origin, ForwardEnd{it->second.originNumber, it->second.pieces});
    end(run, it->second.status >= SERVER_ERROR ? RunEnd::ServerError : RunEnd::Success);
}

void ForwardDesk::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    const auto it = m_guests.find(run);
    if (it == m_guests.end()) {
        return;
    }
    const Guest guest = it->second;
    end(run, RunEnd::Unreachable);
    m_journal.log(core::LogEvent{"forward_failed", {}}
                      .with("request", guest.request.value())
                      .with("server", guest.server.value())
                      .with("reason", reason)
                      .with("may_have_run", mayHaveRun ? "true" : "false"));
    m_links.send(guest.origin, ForwardFailed{guest.originNumber, mayHaveRun, reason});
}

void ForwardDesk::sweep()
{
    const absl::Time now = m_timers.now();
    std::vector<Number> late;
    for (const auto &entry : m_guests) {
        if (entry.second.deadline <= now) {
            late.push_back(entry.first);
        }
    }
    for (const Number run : late) {
        const Guest guest = m_guests.at(run);
        m_runs.cancel(run);
        end(run, RunEnd::Cancelled);
        m_links.send(guest.origin, ForwardFailed{guest.originNumber, true, "too_late"});
    }
}

} // namespace snipeferry::gateway
