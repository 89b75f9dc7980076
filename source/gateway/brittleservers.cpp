#include "snipeferry/gateway/brittleservers.h"

#include "snipeferry/gateway/ports.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace snipeferry::gateway {

namespace {

/** Time for which a backend server's own answer that it is not brittle counts for more than those of others of its service. */
constexpr absl::Duration OWN_ANSWER_TIME = absl::Seconds(2);
/** Part of the slots that is used. The rest is for what other instances send before they are heard of. */
constexpr double USED_SLOTS = 0.85;
/** Time for which a backend server that has turned a request away gets nothing, at least; at most twice as long. */
constexpr absl::Duration SPARED_TIME = absl::Seconds(1);

} // namespace

BrittleServers::BrittleServers(const core::InstanceId &self, core::TimerService &timers)
    : m_timers(timers),
      m_random(std::hash<std::string>{}(self.value()) + 2)
{
}

void BrittleServers::note(const BackendServer &server, const RunReport &report, Journal &journal)
{
    // An answer that cannot be read, or is another process's, says nothing.
    if (report.isBrittleRateUnreadable || report.isWrongServer) {
        return;
    }
    const bool isBrittle = report.brittleRate.has_value();
    if (!isBrittle && !m_services.contains(server.service)) {
        return;
    }
    const absl::Time now = m_timers.now();
    const bool wasBrittle = this->isBrittle(server);
    ServiceAnswers &service = m_services[server.service];
    service.last = Answer{now, isBrittle};
    service.servers[server.id] = service.last;
    if (isBrittle && report.isNotRun) {
        const double prolongation = std::uniform_real_distribution<double>(0, 1)(m_random);
        service.sparedUntil[server.id] = now + SPARED_TIME * (1.0 + prolongation);
        journal.count("brittle_refusals_total", server.service.value(), 1);
    }
    if (isBrittle != wasBrittle) {
        journal.log(core::LogEvent{isBrittle ? "server_brittle" : "server_sturdy", {}}
                        .with("server", server.id.value())
                        .with("service", server.service.value())
                        .with("refusals_per_second", absl::StrCat(report.brittleRate.value_or(0))));
    }
}

void BrittleServers::remove(const BackendServer &server)
{
    const auto service = m_services.find(server.service);
    if (service != m_services.end()) {
        service->second.servers.erase(server.id);
        service->second.sparedUntil.erase(server.id);
    }
}

bool BrittleServers::isBrittle(const BackendServer &server) const
{
    const auto service = m_services.find(server.service);
    if (service == m_services.end()) {
        return false;
    }
    const auto own = service->second.servers.find(server.id);
    if (own == service->second.servers.end()) {
        return service->second.last.isBrittle;
    }
    // It is brittle until it says otherwise itself.
    const bool isRecent = m_timers.now() - own->second.at <= OWN_ANSWER_TIME;
    return own->second.isBrittle || (!isRecent && service->second.last.isBrittle);
}

bool BrittleServers::hasRoom(const BackendServer &server, int runs) const
{
    if (!isBrittle(server)) {
        return true;
    }
    const ServiceAnswers &service = m_services.at(server.service);
    const auto spared = service.sparedUntil.find(server.id);
    const bool isSpared = spared != service.sparedUntil.end() && spared->second > m_timers.now();
    return !isSpared && runs < std::max(1, static_cast<int>(USED_SLOTS * server.slots));
}

} // namespace snipeferry::gateway
