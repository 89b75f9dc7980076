#pragma once

#include "snipeferry/configuration/configuration.h"

#include <absl/container/flat_hash_map.h>

namespace snipeferry::routing {

/**
 * Limits how many bits this instance sends over the links from its region to each other region.
 *
 * All instances of the region share a link equally; each has one token bucket per link.
 */
class LinkBudget
{
public:
    /** @brief Sets the links and their bandwidths; a link that existed before keeps the level of its bucket. */
    void configure(const configuration::Configuration &configuration, const core::RegionId &ownRegion, absl::Time now);

    /** @brief Sets the number of instances in this region that share its links. */
    void setInstanceCount(int instanceCount);

    /** @brief Whether the bucket covers a transfer of this size now; true for a region without a configured link. */
    bool canCarry(const core::RegionId &region, double bits, absl::Time now);

    /** @brief Subtracts a transfer from the bucket; the level may become negative, which delays later transfers. */
    void charge(const core::RegionId &region, double bits, absl::Time now);

    /** @brief One-way latency of the link to a region; zero without a configured link. */
    absl::Duration latency(const core::RegionId &region) const;

private:
    /** A bucket accumulates at most the unused bandwidth of this time. */
    static constexpr absl::Duration BURST_TIME = absl::Seconds(2);

    /** Token bucket of one link; the level is in bits. */
    struct Bucket
    {
        double bitsPerSecond = 0;
        absl::Duration latency;
        double level = 0;
        absl::Time updated;
    };

    void refill(Bucket &bucket, absl::Time now) const;
    double capacity(const Bucket &bucket) const;

    absl::flat_hash_map<core::RegionId, Bucket> m_buckets;
    int m_instanceCount = 1;
};

} // namespace snipeferry::routing
