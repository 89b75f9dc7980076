#pragma once

#include "loadchangetracker.h"
#include "snipeferry/membership/memberlist.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

/**
 * Table of members and their incarnations.
 */
namespace snipeferry::membership {

/** Another instance and the state of the heartbeats exchanged with it. */
struct Entry
{
    Member member;
    /** Sequence number of the last full heartbeat received from the member. */
    std::uint64_t sequence = 0;
    /** The last full heartbeat received from the member asked for the loads of this instance. */
    bool wantsLoads = false;
    /** The last full heartbeat sent to the member asked it for its loads. */
    bool hasRequestedLoads = false;
    LoadChangeTracker loadChanges;
    /** When the next short heartbeat to the member is due. */
    absl::Time nextPulse = absl::InfinitePast();
    /** When a short heartbeat to the member may contain load changes again. */
    absl::Time nextLoads = absl::InfinitePast();
    /** When the next full heartbeat to the member is due. */
    absl::Time nextFullHeartbeat = absl::InfinitePast();
};

using Entries = std::map<core::InstanceId, Entry>;

/**
 * Stores an entry for each member, and for some time also the descriptions of members that were removed.
 *
 * Of each instance only the newest incarnation is stored, so that messages of older ones can be ignored. The descriptions of
 * removed members are kept so that links to them can be tried again.
 */
class MemberTable
{
public:
    explicit MemberTable(core::InstanceId self);

    /** @brief Returns the entries of the members that were not removed. */
    Entries &entries();
    const Entries &entries() const;
    Entry *find(const core::InstanceId &id);

    /**
     * @brief Finds or adds the sender's entry. A new incarnation resets the entry.
     * @return nullptr if the sender has no identifier or is this instance, if a newer incarnation is known or if the table is full
     */
    Entry *addOrUpdate(const InstanceDescription &sender, absl::Time now);

    /**
     * @brief Finds the entry of a member that sent a short heartbeat. A removed member is added again with its stored description.
     * @return nullptr if this incarnation of the member is not stored
     */
    Entry *restore(const core::InstanceId &from, core::Incarnation incarnation, absl::Time now);

    /** @brief Removes the entry of a member. The description of the member is kept until it expires. */
    void remove(const core::InstanceId &id);

    /** @brief Deletes the descriptions of removed members that have expired. */
    void removeExpired(absl::Time now);

    /** @brief Returns the stored descriptions of removed members, except those that were draining. */
    std::vector<InstanceDescription> removedInstances() const;

    /** @brief Whether the data centre has a usable member. */
    bool hasUsable(const core::DataCentreId &dataCentre) const;

private:
    /** Description of an instance that is or was a member. */
    struct KnownInstance
    {
        InstanceDescription description;
        /** When the description is deleted, unless the instance is a member then. */
        absl::Time expiresAt;
    };

    core::InstanceId m_self;
    Entries m_entries;
    std::map<core::InstanceId, KnownInstance> m_knownInstances;
};

} // namespace snipeferry::membership
