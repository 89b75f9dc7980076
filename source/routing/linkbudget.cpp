#include "snipeferry/routing/linkbudget.h"

#include <algorithm>
#include <utility>

namespace snipeferry::routing {

void LinkBudget::configure(const configuration::Configuration &configuration, const core::RegionId &ownRegion, absl::Time now)
{
    const absl::flat_hash_map<core::RegionId, Bucket> previous = std::exchange(m_buckets, {});
    for (const configuration::RegionLink &link : configuration.links) {
        if (link.first != ownRegion && link.second != ownRegion) {
            continue;
        }
        const core::RegionId &other = link.first == ownRegion ? link.second : link.first;
        Bucket bucket{static_cast<double>(link.bitsPerSecond), link.latency, 0, now};
        const auto existing = previous.find(other);
        bucket.level = existing == previous.end() ? capacity(bucket) : existing->second.level;
        m_buckets[other] = bucket;
    }
}

void LinkBudget::setInstanceCount(int instanceCount)
{
    m_instanceCount = std::max(1, instanceCount);
}

bool LinkBudget::canCarry(const core::RegionId &region, double bits, absl::Time now)
{
    const auto it = m_buckets.find(region);
    if (it == m_buckets.end()) {
        return true;
    }
    Bucket &bucket = it->second;
    refill(bucket, now);

    // A transfer larger than the bucket's capacity is allowed when the bucket is full.
    return bucket.level >= std::min(bits, capacity(bucket));
}

void LinkBudget::charge(const core::RegionId &region, double bits, absl::Time now)
{
    const auto it = m_buckets.find(region);
    if (it == m_buckets.end()) {
        return;
    }
    refill(it->second, now);
    it->second.level -= bits;
}

absl::Duration LinkBudget::latency(const core::RegionId &region) const
{
    const auto it = m_buckets.find(region);
    return it == m_buckets.end() ? absl::ZeroDuration() : it->second.latency;
}

void LinkBudget::refill(Bucket &bucket, absl::Time now) const
{
    const double seconds = absl::ToDoubleSeconds(now - bucket.updated);
    bucket.level = std::min(capacity(bucket), bucket.level + seconds * bucket.bitsPerSecond / m_instanceCount);
    bucket.updated = now;
}

double LinkBudget::capacity(const Bucket &bucket) const
{
    return bucket.bitsPerSecond / m_instanceCount * absl::ToDoubleSeconds(BURST_TIME);
}

} // namespace snipeferry::routing
