#include "snipeferry/gateway/gateway.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

// Reports of a large region's instances to its relays, and the relays' answers.
namespace snipeferry::gateway {

namespace {

/** An instance that has not reported for this long gets no more pulses from this relay. */
constexpr absl::Duration CLIENT_LIFETIME = absl::Seconds(3);
/** Period of the allowance reports between an instance and its relay. */
constexpr absl::Duration CLIENT_ALLOWANCE_PERIOD = absl::Seconds(1);
/** Limit of the prompt parts that wait for a summary. More would make the summary too large for a small link; what is left out costs a transfer. */
constexpr std::size_t MAX_WAITING_PARTS = 4000;

void appendBounded(std::vector<ReadPart> &parts, const std::vector<ReadPart> &added)
{
    const std::size_t room = MAX_WAITING_PARTS - std::min(MAX_WAITING_PARTS, parts.size());
    parts.insert(parts.end(), added.begin(), added.begin() + static_cast<std::ptrdiff_t>(std::min(room, added.size())));
}

} // namespace

void Gateway::updateRelays()
{
    if (!m_fleet.updateRelays()) {
        return;
    }
    const auto formatId = [](std::string *out, const core::InstanceId &id) {
        out->append(id.value());
    };
    m_ports.journal.log(core::LogEvent{"relays_changed", {}}.with("relays", absl::StrJoin(m_fleet.relays(), ",", formatId)));
    updateInstances();
    m_membersChanged.emit(MembersChanged{m_fleet.membersToLink()});
}

void Gateway::notePartsAsRelay(const std::vector<ReadPart> &parts, bool isOwnRegion)
{
    if (!m_fleet.isRelay()) {
        return;
    }
    appendBounded(m_partsForRegion, parts);
    // The first relay alone tells other regions.
    if (isOwnRegion && m_fleet.relays().front() == m_settings.self.id) {
        appendBounded(m_partsForOtherRegions, parts);
    }
}

void Gateway::sendRelayReports()
{
    const absl::Time now = m_ports.timers.now();
    const core::InstanceId nearest = m_fleet.nearestRelay();
    Pulse common = buildPulse(true);
    common.readParts = m_backends.promptCache().takeUnreported(true);
    notePartsAsRelay(common.readParts, true);
    m_reportedWork = common.work;
    std::vector<AllowanceReport> allowances;
    if (now - m_allowancesSentToRegionAt >= CLIENT_ALLOWANCE_PERIOD) {
        m_allowancesSentToRegionAt = now;
        allowances = m_allowances.reports();
    }
    for (const core::InstanceId &relay : m_fleet.relays()) {
        if (relay == m_settings.self.id) {
            continue;
        }
        Pulse pulse = addressPulse(common, relay);
        if (relay == nearest || m_fleet.isRelay()) {
            pulse.allowances = allowances;
        }
        m_ports.links.send(relay, RelayReport{pulse, relay == nearest});
    }
}

RegionSummary Gateway::buildSummary()
{
    RegionSummary summary;
    summary.instances = m_fleet.regionStates(isReady(), m_paths.lostServices());
    summary.work = m_backends.regionWork();
    summary.readParts = std::exchange(m_partsForRegion, {});
    summary.rollouts = m_rollouts.fleetReports();
    return summary;
}

void Gateway::answerRelayClients()
{
    const absl::Time now = m_ports.timers.now();
    Pulse common = buildPulse(true);
    // The summary contains the sums of all work and evidence.
    common.work.clear();
    common.rollouts.clear();
    const bool sendsAllowances = now - m_allowancesSentToClientsAt >= CLIENT_ALLOWANCE_PERIOD;
    if (sendsAllowances && !m_relayClients.empty()) {
        m_allowancesSentToClientsAt = now;
        common.allowances = m_allowances.reports();
    }
    std::vector<core::InstanceId> summaryReceivers;
    for (auto it = m_relayClients.begin(); it != m_relayClients.end();) {
        if (now - it->second.reportedAt > CLIENT_LIFETIME) {
            it = m_relayClients.erase(it);
            continue;
        }
        // Relays report to each other, which contains all that a pulse does.
        if (std::find(m_fleet.relays().begin(), m_fleet.relays().end(), it->first) != m_fleet.relays().end()) {
            ++it;
            continue;
        }
        Pulse pulse = addressPulse(common, it->first);
        if (it->second.wantsSummary) {
            summaryReceivers.push_back(it->first);
        } else {
            pulse.allowances.clear();
        }
        m_ports.links.send(it->first, pulse);
        ++it;
    }
    if (summaryReceivers.empty()) {
        m_partsForRegion.clear();
        return;
    }
    m_ports.links.sendToAll(summaryReceivers, buildSummary());
}

void Gateway::handle(const core::InstanceId &from, const RelayReport &message)
{
    m_relayClients[from] = RelayClient{m_ports.timers.now(), message.wantsSummary};
    if (message.wantsSummary && !message.pulse.allowances.empty()) {
        m_allowances.noteClientReports(from, message.pulse.allowances);
    }
    m_backends.setPeerWork(from, message.pulse.work);
    receivePulse(from, message.pulse);
}

void Gateway::handle(const core::InstanceId &from, const RegionSummary &message)
{
    // A relay knows all reports itself. A summary of a relay that was asked before is older than that of the present one.
    if (m_fleet.isRelay() || from != m_fleet.nearestRelay()) {
        return;
    }
    m_fleet.receiveStates(message.instances);
    m_backends.setRegionWork(message.work, m_reportedWork);
    m_backends.promptCache().notePeerReports(message.readParts);
    m_rollouts.receiveFleet(message.rollouts);
}

void Gateway::handle(const core::InstanceId & /*from*/, const MessagePiece & /*message*/)
{
    // The transport joins the pieces of a message and delivers the whole.
}

} // namespace snipeferry::gateway
