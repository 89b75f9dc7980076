#pragma once

#include "snipeferry/membership/messages.h"
#include "snipeferry/platform/directory.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

/**
 * Addresses where other instances may be found: configured seeds, the platform's list, which may be out of date, and reports by
 * members.
 */
namespace snipeferry::membership {

/** Collects instances to which links can be tried. Such an instance becomes a member only when a message from it arrives. */
class PeerHints
{
public:
    PeerHints(InstanceDescription self, std::vector<InstanceDescription> seeds);

    /** @brief Replaces the instances that are known from the platform's list. */
    void replaceListed(const std::vector<platform::ListedInstance> &listed);

    /** @brief Adds instances that a member reported because it recently received messages from them. */
    void addReported(const std::vector<InstanceDescription> &reported, absl::Time now);

    /** @brief Sets the data centre of a seed without identifier, if the sender has the address of that seed. */
    void setSeedDataCentre(const InstanceDescription &sender);

    /** @brief Returns the seeds, listed instances and reported instances that have an identifier and are not draining. */
    std::vector<InstanceDescription> instancesWithId(absl::Time now);

    /**
     * @brief Returns the seeds without an identifier whose data centre is unknown or has no usable member.
     * @param hasUsableMember returns whether a data centre has a usable member
     */
    template<typename HasUsableMember>
    std::vector<InstanceDescription> seedsWithoutId(const HasUsableMember &hasUsableMember) const
    {
        std::vector<InstanceDescription> seedsToTry;
        for (const InstanceDescription &seed : m_seeds) {
            if (seed.id.isEmpty() && (seed.dataCentre.isEmpty() || !hasUsableMember(seed.dataCentre))) {
                seedsToTry.push_back(seed);
            }
        }
        return seedsToTry;
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
