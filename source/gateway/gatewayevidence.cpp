#include "snipeferry/gateway/gateway.h"
#include "snipeferry/gateway/rendezvous.h"

#include <vector>

// What instances tell each other, and the store, about crashes, quarantined prompt parts and limits of backend servers.
namespace snipeferry::gateway {

void Gateway::applyQuarantineRecord(const RecordChange &change)
{
    if (!change.value.has_value()) {
        const auto known = m_quarantineKeys.find(change.key);
        if (known != m_quarantineKeys.end()) {
            m_quarantine.clear(known->second);
            m_quarantineKeys.erase(known);
        }
        return;
    }
    const core::Expected<QuarantineRecord> quarantine = m_ports.records.decodeQuarantine(*change.value);
    if (!quarantine) {
        m_ports.journal.log(core::LogEvent{"quarantine_unreadable", {}}.with("key", change.key).with("error", quarantine.error().message));
        return;
    }
    m_quarantineKeys[change.key] = quarantine->key;
    m_quarantine.adopt(*quarantine);
}

void Gateway::storeQuarantine(const QuarantineRecord &quarantine)
{
    const Record record = m_ports.records.quarantineRecord(quarantine);
    const Record *stored = mirror(Topic::Members).find(record.key);
    if (stored != nullptr && m_ports.records.decodeQuarantine(stored->value).value_or(QuarantineRecord{}).isReleased == quarantine.isReleased) {
        return;
    }
    std::vector<core::InstanceId> live = m_fleet.linkedInstances();
    live.push_back(m_settings.self.id);
    if (rendezvousFirst(record.key, live) == m_settings.self.id) {
        m_recordToStore.emit(RecordToStore{record});
    }
}

void Gateway::storeMissingQuarantines()
{
    if (!mirror(Topic::Members).isLoaded()) {
        return;
    }
    for (const QuarantineRecord &quarantine : m_quarantine.records()) {
        storeQuarantine(quarantine);
    }
}

void Gateway::sendLimitNews()
{
    const std::vector<ServerLimit> news = m_backends.limits().takeNews();
    if (!news.empty()) {
        m_ports.links.sendToAll(linkedRegionInstances(), ServerLimitsNotice{news});
    }
}

void Gateway::handle(const core::InstanceId &from, const ServerLimitsNotice &message)
{
    const std::vector<ServerLimit> fresh = m_backends.limits().receive(message.limits);
    // In a large region the sender has told the relays alone.
    if (!fresh.empty() && m_fleet.isRelay()) {
        m_ports.links.sendToAll(linkedRegionInstances(from), ServerLimitsNotice{fresh});
    }
}

void Gateway::handle(const core::InstanceId &from, const PromptEvidence &message)
{
    const PromptEvidence fresh = m_quarantine.receive(message);
    if (fresh.isEmpty()) {
        return;
    }
    for (const CrashReport &report : fresh.crashes) {
        m_restarts.noteReport(report);
    }
    // The sender has told all instances that it is linked to: in a small region all, of another region a few, in a large region the relays.
    const bool isFromOwnRegion = m_fleet.isInOwnRegion(from);
    if (isFromOwnRegion && !m_fleet.isRelay()) {
        return;
    }
    std::vector<core::InstanceId> receivers;
    for (const core::InstanceId &peer : m_fleet.linkedInstances()) {
        if (peer != from && (isFromOwnRegion || m_fleet.isInOwnRegion(peer))) {
            receivers.push_back(peer);
        }
    }
    m_ports.links.sendToAll(receivers, fresh);
}

} // namespace snipeferry::gateway
