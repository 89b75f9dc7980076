#pragma once

#include "snipeferry/membership/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

/**
 * Selects the links of an instance: to every instance of its own data centre and to a few in each other data centre.
 */
namespace snipeferry::membership {

/** An instance to which a link could be kept. */
struct LinkCandidate
{
    InstanceDescription description;
    /** A link to the instance is up and a message arrived recently. If not, the instance may not exist any more. */
    bool isResponding = false;
};

/**
 * Selects the instances to which this instance keeps links.
 *
 * In other data centres it selects by rendezvous hashing, so that the links of all instances are spread evenly over the instances there.
 */
class LinkSelector
{
public:
    LinkSelector(InstanceDescription self, int linksPerDataCentre);

    /** @brief Returns the selected candidates, sorted by identifier. */
    std::vector<InstanceDescription> select(const std::vector<LinkCandidate> &candidates, absl::Time now);

private:
    /** A candidate that was selected but does not respond. */
    struct Attempt
    {
        /** When the candidate was selected, or when its last attempt timed out. */
        absl::Time startedAt;
        /** Until then the candidate is ranked after the others of its data centre. */
        absl::Time retryAt = absl::InfinitePast();
        /** Whether the last call of select() selected the candidate. */
        bool isCurrent = false;
    };

    std::vector<LinkCandidate> sortedByWeight(std::vector<LinkCandidate> candidates) const;
    void recordAttempts(const std::vector<LinkCandidate> &selected, absl::Time now);
    bool isBackedOff(const LinkCandidate &candidate, absl::Time now) const;

    InstanceDescription m_self;
    std::size_t m_linksPerDataCentre;
    std::map<core::InstanceId, Attempt> m_attempts;
};

} // namespace snipeferry::membership
