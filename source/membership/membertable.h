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
    /** Sequence number of the last full heartbeat received. */
    std::uint64_t sequence = 0;
    bool wantsLoads = false;
    /** The last full heartbeat sent to the member asked it for its loads. */
    bool hasRequestedLoads = false;
    LoadChangeTracker loadChanges;
    absl::Time nextPulse = absl::InfinitePast();
    absl::Time nextLoads = absl::InfinitePast();
    absl::Time nextFullHeartbeat = absl::InfinitePast();
};

using Entries = std::map<core::InstanceId, Entry>;

/** Stores the newest incarnation of each instance. Removed members are remembered, so that links to them can be tried again. */
class MemberTable
{
public:
    explicit MemberTable(core::InstanceId self);

    Entries &entries();
    const Entries &entries() const;
    Entry *find(const core::InstanceId &id);

    /**
     * @brief Finds or adds the sender's entry. A new incarnation resets the entry.
     * @return nullptr if a newer incarnation is known or the table is full
     */
    Entry *addOrUpdate(const InstanceDescription &sender, absl::Time now);

    /** @brief Finds the entry of a sender that sent only its incarnation. A removed member is added again. */
    Entry *restore(const core::InstanceId &from, core::Incarnation incarnation, absl::Time now);

    void remove(const core::InstanceId &id);

    /** @brief Removes remembered instances that have expired. */
    void removeExpired(absl::Time now);

    /** @brief Returns the members that were removed although they had not announced that they were draining. */
    std::vector<InstanceDescription> removedInstances() const;

    /** @brief Whether the data centre has a usable member. */
    bool hasUsable(const core::DataCentreId &dataCentre) const;

private:
    /** Data that is kept about an instance after it was removed. */
    struct KnownInstance
    {
        InstanceDescription description;
        absl::Time expiresAt;
    };

    core::InstanceId m_self;
    Entries m_entries;
    std::map<core::InstanceId, KnownInstance> m_knownInstances;
};

} // namespace snipeferry::membership
