#include "peerhints.h"

#include <algorithm>
#include <utility>

namespace snipeferry::membership {

namespace {

/** How long an instance is tried after a member reported it. */
constexpr absl::Duration REPORTED_LIFETIME = absl::Minutes(2);
constexpr std::size_t MAX_REPORTED = 1024;

} // namespace

PeerHints::PeerHints(InstanceDescription self, std::vector<InstanceDescription> seeds)
    : m_self(std::move(self))
{
    for (InstanceDescription &seed : seeds) {
        if (!isSelf(seed)) {
            m_seeds.push_back(std::move(seed));
        }
    }
}

void PeerHints::replaceListed(const std::vector<platform::ListedInstance> &listed)
{
    m_listed.clear();
    for (const platform::ListedInstance &instance : listed) {
        const InstanceDescription description{
            instance.id, instance.incarnation, instance.dataCentre, instance.peerAddress, instance.callerAddress, instance.isLeaving};
        if (!isSelf(description) && !description.isDraining) {
            m_listed[description.id] = description;
        }
    }
}

void PeerHints::addReported(const std::vector<InstanceDescription> &reported, absl::Time now)
{
    for (const InstanceDescription &description : reported) {
        const bool isNew = m_reported.count(description.id) == 0;
        if (isSelf(description) || description.id.isEmpty() || description.isDraining || (isNew && m_reported.size() >= MAX_REPORTED)) {
            continue;
        }
        ReportedInstance &entry = m_reported[description.id];
        if (isNew || entry.description.incarnation <= description.incarnation) {
            entry = {description, now + REPORTED_LIFETIME};
        }
    }
}

void PeerHints::setSeedDataCentre(const InstanceDescription &sender)
{
    for (InstanceDescription &seed : m_seeds) {
        if (seed.id.isEmpty() && seed.peerAddress == sender.peerAddress) {
            seed.dataCentre = sender.dataCentre;
        }
    }
}

std::vector<InstanceDescription> PeerHints::instancesWithId(absl::Time now)
{
    // Seeds, listed and reported instances are added in this order, from the least to the most reliable source, so that the most reliable one remains.
    std::map<core::InstanceId, InstanceDescription> known;
    for (const InstanceDescription &seed : m_seeds) {
        if (!seed.id.isEmpty()) {
            known[seed.id] = seed;
        }
    }
    for (const std::pair<const core::InstanceId, InstanceDescription> &listed : m_listed) {
        known[listed.first] = listed.second;
    }
    for (auto it = m_reported.begin(); it != m_reported.end();) {
        if (it->second.expiresAt <= now) {
            it = m_reported.erase(it);
            continue;
        }
        known[it->first] = it->second.description;
        ++it;
    }
    std::vector<InstanceDescription> descriptions;
    descriptions.reserve(known.size());
    for (const std::pair<const core::InstanceId, InstanceDescription> &entry : known) {
        descriptions.push_back(entry.second);
    }
    return descriptions;
}

bool PeerHints::isSelf(const InstanceDescription &description) const
{
    return (!description.id.isEmpty() && description.id == m_self.id) || description.peerAddress == m_self.peerAddress;
}

} // namespace snipeferry::membership
