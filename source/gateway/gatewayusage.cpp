#include "snipeferry/gateway/gateway.h"
#include "snipeferry/gateway/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** One aggregator is left if the other fails. */
constexpr std::size_t USAGE_AGGREGATORS = 2;
constexpr const char *AGGREGATOR_KEY = "usage";
constexpr const char *WATCH_KEY = "duties";

} // namespace

std::vector<core::InstanceId> Gateway::usageAggregators() const
{
    std::vector<core::InstanceId> chosen = m_fleet.relays();
    if (!m_fleet.usesRelays() || chosen.empty()) {
        std::vector<std::pair<double, core::InstanceId>> ranked;
        for (const core::InstanceId &instance : m_fleet.regionInstances()) {
            ranked.emplace_back(-rendezvousWeight(AGGREGATOR_KEY, instance.value()), instance);
        }
        std::sort(ranked.begin(), ranked.end());
        chosen.clear();
        for (const std::pair<double, core::InstanceId> &entry : ranked) {
            chosen.push_back(entry.second);
        }
    }
    chosen.resize(std::min(chosen.size(), USAGE_AGGREGATORS));
    return chosen;
}

void Gateway::sendUsage()
{
    m_usage->tick();
    const duties::UsageNotice notice{m_settings.self.bootId, absl::ToUnixMillis(m_usage->clock().now()), m_usage->lastWindows()};
    for (const core::InstanceId &aggregator : usageAggregators()) {
        if (aggregator != m_settings.self.id) {
            m_ports.links.send(aggregator, notice);
        }
    }
    m_usageAggregator->note(m_settings.self.id, notice);
}

void Gateway::handle(const core::InstanceId &from, const duties::UsageNotice &message)
{
    if (m_usageAggregator != nullptr && m_fleet.isInOwnRegion(from)) {
        m_usageAggregator->note(from, message);
    }
}

void Gateway::closeUsageWindows()
{
    const std::vector<core::InstanceId> aggregators = usageAggregators();
    if (aggregators.empty() || aggregators.front() != m_settings.self.id) {
        return;
    }
    // What began here since the last notice is part of the sums too.
    m_usageAggregator->note(m_settings.self.id, {m_settings.self.bootId, absl::ToUnixMillis(m_usage->clock().now()), m_usage->lastWindows()});
    const std::size_t live = m_fleet.regionInstances().size();
    const bool seesRegion = 2 * live >= m_fleet.announcedRegionMembers().size();
    for (const duties::WindowUsage &usage : m_usageAggregator->takeClosed(seesRegion)) {
        m_ports.journal.log(core::LogEvent{"usage_window_closed", {}}
                                .with("window", absl::StrCat(usage.window))
                                .with("customers", absl::StrCat(usage.counts.size()))
                                .with("instances", absl::StrCat(live))
                                .with("sees_region", seesRegion ? "true" : "false"));
        m_regionUsageClosed.emit({m_settings.self.region, usage});
    }
}

core::Signal<RegionUsageClosed> &Gateway::regionUsageClosed()
{
    return m_regionUsageClosed;
}

const duties::WallClock *Gateway::usageClock() const
{
    return m_usage == nullptr ? nullptr : &m_usage->clock();
}

void Gateway::usageStoreReturned()
{
    if (m_usageAggregator != nullptr) {
        m_usageAggregator->storeReturned();
    }
}

std::size_t Gateway::dutyWatchRank() const
{
    return rendezvousRank(WATCH_KEY, m_settings.self.id, m_fleet.possiblyLiveInstances());
}

std::vector<core::RegionId> Gateway::liveRegions() const
{
    return m_fleet.liveRegions();
}

} // namespace snipeferry::gateway
