#pragma once

#include "snipeferry/limits/slotbucket.h"

#include <optional>
#include <vector>

/**
 * Tokens of one customer that this instance can reserve for requests.
 */
namespace snipeferry::limits {

/** Tokens that another instance granted to this one; they can be reserved until the grant expires. */
struct HeldGrant
{
    core::InstanceId donor;
    std::uint64_t transferId = 0;
    /** Tokens that no reservation holds. */
    MicroTokens left = 0;
    /** Total tokens of this grant returned to the donor so far. */
    MicroTokens returnedInAll = 0;
    absl::Time expires;
};

/** Tokens of a reservation that came from the same local bucket or the same grant. */
struct TokenPart
{
    MicroTokens amount = 0;
    /** Identifier of the local bucket, or 0 if the tokens came from a grant. */
    std::uint64_t bucketId = 0;
    /** Mark for SlotBucket::credit(), if the tokens came from a local bucket. */
    BucketMark mark = 0;
    /** Identifier of the grant, or 0 if the tokens came from a local bucket. */
    std::uint64_t transferId = 0;
};

/** Unused tokens of a reservation whose grant has ended at this instance. The donor may still credit them. */
struct LateReturn
{
    std::uint64_t transferId = 0;
    MicroTokens amount = 0;
};

/** One customer's token buckets in the slots that this instance owns, and the grants that it received for the customer. */
class CustomerTokens
{
public:
    /** @brief Adds a bucket. The identifier must be unique within the instance and not 0. */
    void addBucket(const SlotId &slot, std::uint64_t bucketId, SlotBucket bucket);
    void removeBucket(const SlotId &slot);
    bool hasBucket(const SlotId &slot) const;
    bool isEmpty() const;

    /** @brief Returns the bucket with this identifier, or nullptr. */
    SlotBucket *find(std::uint64_t bucketId);
    SlotBucket *findBySlot(const SlotId &slot);

    /**
     * @brief Applies the shares of a new configuration and removes the buckets of slots that are no longer home slots of the customer.
     * @return the slots whose buckets were removed
     */
    std::vector<SlotId> setHomes(const std::vector<HomeSlot> &homes, absl::Time now);

    /** @brief Returns the tokens in the local buckets. */
    MicroTokens localLevel(absl::Time now);

    /** @brief Returns the total refill rate of the local buckets, per second. */
    MicroTokens mintedPerSecond() const;

    /** @brief Returns the tokens that can be reserved now: those in local buckets and in grants. */
    MicroTokens available(absl::Time now);

    /**
     * @brief Takes tokens for a reservation, from grants first and then from the local buckets.
     * @return the parts of the reservation, or nothing if there are too few tokens
     */
    std::optional<std::vector<TokenPart>> reserve(MicroTokens amount, absl::Time now);

    /** @brief Takes up to this many tokens from the local buckets for a grant to another instance. */
    std::vector<TokenPart> grant(MicroTokens amount, absl::Time now);

    /**
     * @brief Credits the unused tokens of a reservation to the local buckets first, then to the grants that they came from.
     * @return unused tokens whose grants have already ended
     */
    std::vector<LateReturn> creditUnused(const std::vector<TokenPart> &parts, MicroTokens unused, absl::Time now);

    void addGrant(HeldGrant grant);

    /** @brief Removes and returns the grants that are used up or expire within the margin, so that they can be returned to their donors. */
    std::vector<HeldGrant> takeExpiringGrants(absl::Time now, absl::Duration margin);

    /** @brief Returns the tokens of unexpired grants that no reservation holds. */
    MicroTokens availableInGrants(absl::Time now) const;

private:
    struct LocalBucket
    {
        SlotId slot;
        std::uint64_t id = 0;
        SlotBucket bucket;
    };

    HeldGrant *findGrant(std::uint64_t transferId);

    std::vector<LocalBucket> m_buckets;
    std::vector<HeldGrant> m_grants;
};

} // namespace snipeferry::limits
