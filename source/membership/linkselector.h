#pragma once

#include "snipeferry/membership/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

/**
 * Selects the links of an instance: to every instance of its own data centre and to a few in each other data centre.
 */
namespace snipeferry::membership {

/** An instance that a link may be kept to. */
struct LinkCandidate
{
    InstanceDescription description;
    /** A message from the instance arrived recently; otherwise it may not exist any more. */
    bool isResponding = false;
};

/** Selects links. Rendezvous hashing spreads the links between data centres evenly over their instances. */
class LinkSelector
{
public:
    LinkSelector(InstanceDescription self, int linksPerDataCentre);

    /** @brief Returns the instances to keep links to. */
    std::vector<InstanceDescription> select(const std::vector<LinkCandidate> &candidates, absl::Time now);

private:
    /** Attempt to get a response from a candidate. */
    struct Attempt
    {
        absl::Time since;
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
