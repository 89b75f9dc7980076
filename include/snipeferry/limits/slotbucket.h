#pragma once

#include "snipeferry/limits/sharelayout.h"

#include <absl/time/time.h>

#include <vector>

/**
 * Token bucket of one customer in one slot, kept by the instance that owns the slot.
 */
namespace snipeferry::limits {

/** A point in a bucket's history. Tokens debited at this point can be credited only up to the smallest free capacity that the bucket has had since. */
using BucketMark = std::uint64_t;

/**
 * Token bucket that counts granted tokens against the burst as long as another instance may still use them.
 *
 * Invariant: level + granted <= burst. Therefore the tokens that are debited and not credited within a time window are at most
 * burst + rate x length.
 */
class SlotBucket
{
public:
    SlotBucket(SlotShare share, MicroTokens level, absl::Time now);

    /** @brief Applies a new share; the level is reduced to the new burst if it is higher. */
    void setShare(SlotShare share, absl::Time now);

    const SlotShare &share() const;

    /** @brief Returns the tokens that can be debited now. */
    MicroTokens level(absl::Time now);

    /** @brief Discards all tokens. The bucket refills only for the time after now. */
    void empty(absl::Time now);

    /**
     * @brief Debits tokens for a reservation.
     * @param amount at most level()
     * @return the mark for a later credit()
     */
    BucketMark debit(MicroTokens amount, absl::Time now);

    /** @brief Debits tokens for a grant to another instance; they count against the burst until release(). */
    void grant(MicroTokens amount, absl::Time now);

    /** @brief Returns unused granted tokens to the bucket. */
    void takeBack(MicroTokens amount, absl::Time now);

    /**
     * @brief Stops counting granted tokens against the burst, because they are used or expired.
     * @return the mark for a later credit()
     */
    BucketMark release(MicroTokens amount, absl::Time now);

    /**
     * @brief Credits tokens that were debited and not used, up to the smallest free capacity that the bucket has had since the mark.
     * @return the number of credited tokens
     */
    MicroTokens credit(BucketMark mark, MicroTokens amount, absl::Time now);

private:
    /** Smallest free capacity that the bucket has had since a mark. m_minima is sorted by mark, and freeCapacity increases from entry to entry. */
    struct CapacityMinimum
    {
        BucketMark mark = 0;
        /** Free capacity when this entry was recorded, plus all tokens that had been credited before. */
        MicroTokens freeCapacity = 0;
    };

    static constexpr std::size_t MAX_MINIMA = 128;

    void refill(absl::Time now);
    void recordFreeCapacity();
    MicroTokens minFreeCapacitySince(BucketMark mark) const;

    SlotShare m_share;
    MicroTokens m_level = 0;
    MicroTokens m_granted = 0;
    MicroTokens m_totalCredited = 0;
    absl::Time m_lastRefill;
    BucketMark m_lastMark = 0;
    std::vector<CapacityMinimum> m_minima;
};

} // namespace snipeferry::limits
