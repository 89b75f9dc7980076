#include "linkselector.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipeferry::membership {

namespace {

/** A selected candidate that does not respond for this long is replaced by another one. */
constexpr absl::Duration ATTEMPT_TIMEOUT = absl::Seconds(5);
/** How long a candidate that did not respond is ranked after the others. */
constexpr absl::Duration BACK_OFF_DURATION = absl::Seconds(30);

std::uint64_t rendezvousWeight(const core::InstanceId &from, const core::InstanceId &to)
{
    const std::string text = from.value() + '/' + to.value();
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

LinkSelector::LinkSelector(InstanceDescription self, int linksPerDataCentre)
    : m_self(std::move(self)),
      m_linksPerDataCentre(static_cast<std::size_t>(std::max(linksPerDataCentre, 1)))
{
}

std::vector<InstanceDescription> LinkSelector::select(const std::vector<LinkCandidate> &candidates, absl::Time now)
{
    // Group the candidates by data centre.
    std::map<core::DataCentreId, std::vector<LinkCandidate>> groups;
    for (const LinkCandidate &candidate : candidates) {
        groups[candidate.description.dataCentre].push_back(candidate);
    }

    // Select all candidates of the own data centre. From each other data centre select the first ones in a ranking by weight; candidates that did
    // not respond are ranked last while they are backed off.
    std::vector<LinkCandidate> selected;
    for (std::pair<const core::DataCentreId, std::vector<LinkCandidate>> &group : groups) {
        if (group.first == m_self.dataCentre) {
            selected.insert(selected.end(), group.second.begin(), group.second.end());
            continue;
        }
        std::vector<LinkCandidate> ranking = sortedByWeight(std::move(group.second));
        std::stable_partition(ranking.begin(), ranking.end(), [&](const LinkCandidate &candidate) { return !isBackedOff(candidate, now); });
        ranking.resize(std::min(ranking.size(), m_linksPerDataCentre));
        selected.insert(selected.end(), ranking.begin(), ranking.end());
    }
    recordAttempts(selected, now);

    std::vector<InstanceDescription> links;
    links.reserve(selected.size());
    for (const LinkCandidate &candidate : selected) {
        links.push_back(candidate.description);
    }
    std::sort(links.begin(), links.end(), [](const InstanceDescription &left, const InstanceDescription &right) { return left.id < right.id; });
    return links;
}

std::vector<LinkCandidate> LinkSelector::sortedByWeight(std::vector<LinkCandidate> candidates) const
{
    std::sort(candidates.begin(), candidates.end(), [this](const LinkCandidate &left, const LinkCandidate &right) {
        if (left.description.isDraining != right.description.isDraining) {
            return right.description.isDraining;
        }
        return rendezvousWeight(m_self.id, left.description.id) > rendezvousWeight(m_self.id, right.description.id);
    });
    return candidates;
}

void LinkSelector::recordAttempts(const std::vector<LinkCandidate> &selected, absl::Time now)
{
    for (std::pair<const core::InstanceId, Attempt> &attempt : m_attempts) {
        attempt.second.isCurrent = false;
    }
    for (const LinkCandidate &candidate : selected) {
        const core::InstanceId &id = candidate.description.id;
        if (candidate.isResponding) {
            m_attempts.erase(id);
            continue;
        }
        const auto [it, isNew] = m_attempts.try_emplace(id, Attempt{now});
        it->second.isCurrent = true;
        if (now - it->second.startedAt >= ATTEMPT_TIMEOUT) {
            it->second.startedAt = now;
            it->second.retryAt = now + BACK_OFF_DURATION;
        }
    }
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        it = !it->second.isCurrent && it->second.retryAt <= now ? m_attempts.erase(it) : std::next(it);
    }
}

bool LinkSelector::isBackedOff(const LinkCandidate &candidate, absl::Time now) const
{
    const auto it = m_attempts.find(candidate.description.id);
    return !candidate.isResponding && it != m_attempts.end() && it->second.retryAt > now;
}

} // namespace snipeferry::membership
