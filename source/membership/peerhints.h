#pragma once

#include "snipeferry/membership/messages.h"
#include "snipeferry/platform/directory.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

/**
 * Addresses where other instances may be found: configured seeds, the platform's list, which may lag, and reports by members.
 */
namespace snipeferry::membership {

/** Collects instances to try. An instance becomes a member only when a message from it arrives. */
class PeerHints
{
public:
    PeerHints(InstanceDescription self, std::vector<InstanceDescription> seeds);

    /** @brief Replaces the instances from the platform's list. */
    void replaceListed(const std::vector<platform::ListedInstance> &listed);

    /** @brief Adds instances from which a member has recently received messages. */
    void addReported(const std::vector<InstanceDescription> &reported, absl::Time now);

    /** @brief Stores the data centre of the instance that answered at a seed's address. */
    void setSeedDataCentre(const InstanceDescription &sender);

    /** @brief Returns the known instances that have an identifier and are not leaving. */
    std::vector<InstanceDescription> instancesWithId(absl::Time now);

    /**
     * @brief Returns the seeds without an identifier whose data centre is unknown or has no usable member.
     * @param hasMembers returns whether a data centre has a usable member
     */
    template<typename HasMembers>
    std::vector<InstanceDescription> seedsWithoutId(const HasMembers &hasMembers) const
    {
        std::vector<InstanceDescription> usableSeeds;
        for (const InstanceDescription &seed : m_seeds) {
            if (seed.id.isEmpty() && (seed.dataCentre.isEmpty() || !hasMembers(seed.dataCentre))) {
                usableSeeds.push_back(seed);
            }
        }
        return usableSeeds;
    }

private:
    struct ReportedInstance
    {
        InstanceDescription description;
        absl::Time expiresAt;
    };

    bool isSelf(const InstanceDescription &description) const;

    InstanceDescription m_self;
    std::vector<InstanceDescription> m_seeds;
    std::map<core::InstanceId, InstanceDescription> m_listed;
    std::map<core::InstanceId, ReportedInstance> m_reported;
};

} // namespace snipeferry::membership
