#include "snipeferry/limits/customertokens.h"

#include <algorithm>

namespace snipeferry::limits {

void CustomerTokens::addBucket(const SlotId &slot, std::uint64_t bucketId, SlotBucket bucket)
{
    m_buckets.push_back({slot, bucketId, std::move(bucket)});
}

void CustomerTokens::removeBucket(const SlotId &slot)
{
    m_buckets.erase(std::remove_if(m_buckets.begin(), m_buckets.end(), [&](const LocalBucket &local) { return local.slot == slot; }), m_buckets.end());
}

bool CustomerTokens::hasBucket(const SlotId &slot) const
{
    return std::any_of(m_buckets.begin(), m_buckets.end(), [&](const LocalBucket &local) { return local.slot == slot; });
}

bool CustomerTokens::isEmpty() const
{
    return m_buckets.empty() && m_grants.empty();
}

SlotBucket *CustomerTokens::find(std::uint64_t bucketId)
{
    const auto it = std::find_if(m_buckets.begin(), m_buckets.end(), [&](const LocalBucket &local) { return local.id == bucketId; });
    return it == m_buckets.end() ? nullptr : &it->bucket;
}

SlotBucket *CustomerTokens::findBySlot(const SlotId &slot)
{
    const auto it = std::find_if(m_buckets.begin(), m_buckets.end(), [&](const LocalBucket &local) { return local.slot == slot; });
    return it == m_buckets.end() ? nullptr : &it->bucket;
}

std::vector<SlotId> CustomerTokens::setHomes(const std::vector<HomeSlot> &homes, absl::Time now)
{
    std::vector<SlotId> removed;
    for (LocalBucket &local : m_buckets) {
        const auto home = std::find_if(homes.begin(), homes.end(), [&](const HomeSlot &candidate) { return candidate.slot == local.slot; });
        if (home == homes.end()) {
            removed.push_back(local.slot);
        } else {
            local.bucket.setShare(home->share, now);
        }
    }
    for (const SlotId &slot : removed) {
        removeBucket(slot);
    }
    return removed;
}

MicroTokens CustomerTokens::localLevel(absl::Time now)
{
    MicroTokens sum = 0;
    for (LocalBucket &local : m_buckets) {
        sum += std::max<MicroTokens>(0, local.bucket.level(now));
    }
    return sum;
}

MicroTokens CustomerTokens::mintedPerSecond() const
{
    MicroTokens sum = 0;
    for (const LocalBucket &local : m_buckets) {
        sum += local.bucket.share().ratePerSecond;
    }
    return sum;
}

MicroTokens CustomerTokens::available(absl::Time now)
{
    return localLevel(now) + availableInGrants(now);
}

std::optional<std::vector<TokenPart>> CustomerTokens::reserve(MicroTokens amount, absl::Time now)
{
    if (available(now) < amount) {
        return std::nullopt;
    }
    std::vector<TokenPart> parts;

    // Uses grants first, because they expire.
    for (HeldGrant &grant : m_grants) {
        const MicroTokens taken = now < grant.expires ? std::min(amount, grant.left) : 0;
        if (taken > 0) {
            grant.left -= taken;
            amount -= taken;
            parts.push_back({taken, 0, 0, grant.transferId});
        }
    }
    for (LocalBucket &local : m_buckets) {
        const MicroTokens taken = std::min(amount, local.bucket.level(now));
        if (taken > 0) {
            amount -= taken;
            parts.push_back({taken, local.id, local.bucket.debit(taken, now), 0});
        }
    }
    return parts;
}

std::vector<TokenPart> CustomerTokens::grant(MicroTokens amount, absl::Time now)
{
    std::vector<TokenPart> parts;
    for (LocalBucket &local : m_buckets) {
        const MicroTokens taken = std::min(amount, local.bucket.level(now));
        if (taken > 0) {
            local.bucket.grant(taken, now);
            amount -= taken;
            parts.push_back({taken, local.id, 0, 0});
        }
    }
    return parts;
}

std::vector<LateReturn> CustomerTokens::creditUnused(const std::vector<TokenPart> &parts, MicroTokens unused, absl::Time now)
{
    for (const TokenPart &part : parts) {
        SlotBucket *bucket = part.bucketId == 0 ? nullptr : find(part.bucketId);
        if (bucket != nullptr && unused > 0) {
            const MicroTokens returned = std::min(unused, part.amount);
            bucket->credit(part.mark, returned, now);
            unused -= returned;
        }
    }
    std::vector<LateReturn> late;
    for (const TokenPart &part : parts) {
        const MicroTokens returned = part.transferId == 0 ? 0 : std::min(unused, part.amount);
        if (returned <= 0) {
            continue;
        }
        unused -= returned;
        HeldGrant *grant = findGrant(part.transferId);
        if (grant != nullptr) {
            grant->left += returned;
        } else {
            late.push_back({part.transferId, returned});
        }
    }
    return late;
}

void CustomerTokens::addGrant(HeldGrant grant)
{
    m_grants.push_back(std::move(grant));
}

std::vector<HeldGrant> CustomerTokens::takeExpiringGrants(absl::Time now, absl::Duration margin)
{
    const auto isOpen = [&](const HeldGrant &grant) {
        return grant.left > 0 && grant.expires > now + margin;
    };
    const auto firstExpiring = std::stable_partition(m_grants.begin(), m_grants.end(), isOpen);
    std::vector<HeldGrant> expiring(firstExpiring, m_grants.end());
    m_grants.erase(firstExpiring, m_grants.end());
    return expiring;
}

MicroTokens CustomerTokens::availableInGrants(absl::Time now) const
{
    MicroTokens sum = 0;
    for (const HeldGrant &grant : m_grants) {
        sum += now < grant.expires ? grant.left : 0;
    }
    return sum;
}

HeldGrant *CustomerTokens::findGrant(std::uint64_t transferId)
{
    const auto it = std::find_if(m_grants.begin(), m_grants.end(), [&](const HeldGrant &grant) { return grant.transferId == transferId; });
    return it == m_grants.end() ? nullptr : &*it;
}

} // namespace snipeferry::limits
