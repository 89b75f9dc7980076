#include "membertable.h"

#include <algorithm>
#include <utility>

namespace snipeferry::membership {

namespace {

/** How long an instance that is not a member any more is remembered after its last message. */
constexpr absl::Duration KNOWN_INSTANCE_RETENTION = absl::Hours(1);
constexpr std::size_t MAX_KNOWN_INSTANCES = 4096;

} // namespace

MemberTable::MemberTable(core::InstanceId self)
    : m_self(std::move(self))
{
}

Entries &MemberTable::entries()
{
    return m_entries;
}

const Entries &MemberTable::entries() const
{
    return m_entries;
}

Entry *MemberTable::find(const core::InstanceId &id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

Entry *MemberTable::addOrUpdate(const InstanceDescription &sender, absl::Time now)
{
    if (sender.id.isEmpty() || sender.id == m_self) {
        return nullptr;
    }
    const auto knownInstance = m_knownInstances.find(sender.id);
    const bool isKnown = knownInstance != m_knownInstances.end();
    if (isKnown && knownInstance->second.description.incarnation > sender.incarnation) {
        return nullptr;
    }
    if (!isKnown && m_knownInstances.size() >= MAX_KNOWN_INSTANCES) {
        return nullptr;
    }
    m_knownInstances[sender.id] = {sender, now + KNOWN_INSTANCE_RETENTION};
    Entry &entry = m_entries[sender.id];
    if (entry.member.description.incarnation != sender.incarnation) {
        entry = Entry();
    }
    entry.member.description = sender;
    return &entry;
}

Entry *MemberTable::restore(const core::InstanceId &from, core::Incarnation incarnation, absl::Time now)
{
    const auto knownInstance = m_knownInstances.find(from);
    if (knownInstance == m_knownInstances.end() || knownInstance->second.description.incarnation != incarnation) {
        return nullptr;
    }
    const InstanceDescription sender = knownInstance->second.description;
    return addOrUpdate(sender, now);
}

void MemberTable::remove(const core::InstanceId &id)
{
    m_entries.erase(id);
}

void MemberTable::removeExpired(absl::Time now)
{
    for (auto it = m_knownInstances.begin(); it != m_knownInstances.end();) {
        const bool isExpired = it->second.expiresAt <= now && m_entries.count(it->first) == 0;
        it = isExpired ? m_knownInstances.erase(it) : std::next(it);
    }
}

std::vector<InstanceDescription> MemberTable::removedInstances() const
{
    std::vector<InstanceDescription> descriptions;
    for (const std::pair<const core::InstanceId, KnownInstance> &knownInstance : m_knownInstances) {
        if (m_entries.count(knownInstance.first) == 0 && !knownInstance.second.description.isDraining) {
            descriptions.push_back(knownInstance.second.description);
        }
    }
    return descriptions;
}

bool MemberTable::hasUsable(const core::DataCentreId &dataCentre) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const std::pair<const core::InstanceId, Entry> &entry) {
        return entry.second.member.isUsable && entry.second.member.description.dataCentre == dataCentre;
    });
}

} // namespace snipeferry::membership
