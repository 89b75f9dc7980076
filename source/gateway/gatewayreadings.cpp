#include "snipeferry/gateway/gateway.h"

#include <nlohmann/json.hpp>

namespace snipeferry::gateway {

namespace {

/** Age of a topic copy that was never confirmed. */
constexpr double NEVER_CONFIRMED = -1;

double ageInSeconds(absl::Time now, absl::Time at)
{
    return at == absl::InfinitePast() ? NEVER_CONFIRMED : absl::ToDoubleSeconds(now - at);
}

} // namespace

std::vector<Reading> Gateway::readings()
{
    const absl::Time now = m_ports.timers.now();
    std::vector<Reading> all = {
        {"ready", "", isReady() ? 1.0 : 0.0},
        {"draining", "", m_isDraining ? 1.0 : 0.0},
        {"open_requests", "", static_cast<double>(openCount())},
        {"store_reachable", "", m_storeContact.isInTrouble() ? 0.0 : 1.0},
        {"deployment_version", "", m_routes == nullptr ? 0.0 : static_cast<double>(m_routes->deployment().version)},
        {"instances_known", "", static_cast<double>(m_fleet.instanceCount())},
        {"instances_linked", "", static_cast<double>(m_fleet.linkedInstances().size())},
        {"quarantined_parts", "", static_cast<double>(m_quarantine.records().size())},
    };
    for (const Topic topic : {Topic::Operator, Topic::BackendServers, Topic::Members}) {
        const std::string name = nlohmann::json(topic).get<std::string>();
        all.push_back({"topic_age_seconds", name, ageInSeconds(now, mirror(topic).confirmedAt())});
        all.push_back({"topic_revision", name, static_cast<double>(mirror(topic).revision())});
    }
    for (const core::ServiceId &service : m_backends.services()) {
        const ServerCounts counts = m_backends.serverCounts(service);
        all.push_back({"backend_servers_working", service.value(), static_cast<double>(counts.working)});
        all.push_back({"backend_servers_resting", service.value(), static_cast<double>(counts.resting)});
        all.push_back({"backend_server_runs", service.value(), static_cast<double>(counts.runs)});
        all.push_back({"repeats_left", service.value(), m_repeats.remaining(service)});
        const std::vector<absl::Duration> waits = m_backends.leastWaits(service);
        if (!waits.empty()) {
            // The last entry is the wait of the least urgent requests.
            all.push_back({"queue_wait_seconds", service.value(), absl::ToDoubleSeconds(waits.back())});
        }
    }
    for (const LimitState &limit : m_backends.limits().states()) {
        all.push_back({"server_limit_per_second", limit.server.value(), limit.perSecond});
        all.push_back({"server_limit_own_part_per_second", limit.server.value(), limit.ownPart});
        all.push_back({"server_limit_age_seconds", limit.server.value(), absl::ToDoubleSeconds(limit.age)});
    }
    for (const AllowanceReport &report : m_allowances.reports()) {
        all.push_back({"allowance_tokens", report.customer.value(), report.balance});
        all.push_back({"allowance_asked_per_second", report.customer.value(), report.demand});
    }
    return all;
}

} // namespace snipeferry::gateway
