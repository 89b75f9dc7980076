#include "snipeferry/limits/slotbucket.h"

#include <absl/numeric/int128.h>

#include <algorithm>

namespace snipeferry::limits {

namespace {

constexpr std::int64_t NANOSECONDS_PER_SECOND = 1'000'000'000;

// Returns amount x multiplier / divisor, rounded down and at most the limit. Intermediate results do not overflow.
std::int64_t scaled(std::int64_t amount, std::int64_t multiplier, std::int64_t divisor, std::int64_t limit)
{
    const absl::uint128 product = absl::uint128(static_cast<std::uint64_t>(amount)) * static_cast<std::uint64_t>(multiplier);
    const absl::uint128 result = product / static_cast<std::uint64_t>(divisor);
    return static_cast<std::int64_t>(absl::Uint128Low64(std::min(result, absl::uint128(static_cast<std::uint64_t>(limit)))));
}

} // namespace

SlotBucket::SlotBucket(SlotShare share, MicroTokens level, absl::Time now)
    : m_share(share),
      m_level(std::min(level, share.burst)),
      m_lastRefill(now)
{
}

void SlotBucket::setShare(SlotShare share, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    m_share = share;
    m_level = std::max<MicroTokens>(0, std::min(m_level, m_share.burst - m_granted));
    recordFreeCapacity();
}

const SlotShare &SlotBucket::share() const
{
    return m_share;
}

MicroTokens SlotBucket::level(absl::Time now)
{
    refill(now);
    return m_level;
}

void SlotBucket::empty(absl::Time now)
{
    m_level = 0;
    m_lastRefill = now;
    m_minima.clear();
    // From now on, no tokens are credited that were debited before the bucket was emptied.
    m_minima.push_back({++m_lastMark, m_totalCredited});
}

BucketMark SlotBucket::debit(MicroTokens amount, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    m_level -= amount;
    return m_lastMark + 1;
}

void SlotBucket::grant(MicroTokens amount, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    m_level -= amount;
    m_granted += amount;
}

void SlotBucket::takeBack(MicroTokens amount, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    m_granted -= amount;
    m_level = std::max<MicroTokens>(0, std::min(m_level + amount, m_share.burst - m_granted));
}

BucketMark SlotBucket::release(MicroTokens amount, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    m_granted -= amount;
    return m_lastMark + 1;
}

MicroTokens SlotBucket::credit(BucketMark mark, MicroTokens amount, absl::Time now)
{
    refill(now);
    recordFreeCapacity();
    const MicroTokens credited = std::max<MicroTokens>(0, std::min(amount, minFreeCapacitySince(mark)));
    m_level += credited;
    // Reduces the free capacity that later credits can use, since each part of it can be filled only once.
    m_totalCredited += credited;
    return credited;
}

void SlotBucket::refill(absl::Time now)
{
    const std::int64_t elapsed = absl::ToInt64Nanoseconds(now - m_lastRefill);
    if (elapsed <= 0) {
        return;
    }
    const MicroTokens freeCapacity = m_share.burst - m_granted - m_level;
    if (freeCapacity <= 0 || m_share.ratePerSecond <= 0) {
        m_lastRefill = now;
        return;
    }
    const MicroTokens added = scaled(m_share.ratePerSecond, elapsed, NANOSECONDS_PER_SECOND, freeCapacity);
    if (added == freeCapacity) {
        m_level += freeCapacity;
        m_lastRefill = now;
        return;
    }

    // Keeps the part of the elapsed time that yielded less than one micro-token for the next refill.
    m_level += added;
    const std::int64_t accounted = scaled(added, NANOSECONDS_PER_SECOND, m_share.ratePerSecond, elapsed);
    m_lastRefill += absl::Nanoseconds(std::min(elapsed, accounted + 1));
}

void SlotBucket::recordFreeCapacity()
{
    const MicroTokens freeCapacity = m_share.burst - m_level - m_granted + m_totalCredited;
    while (!m_minima.empty() && m_minima.back().freeCapacity >= freeCapacity) {
        m_minima.pop_back();
    }
    m_minima.push_back({++m_lastMark, freeCapacity});
    if (m_minima.size() <= MAX_MINIMA) {
        return;
    }

    // Merges the oldest two entries. Marks between the two get the lower free capacity, so that never too many tokens are credited.
    m_minima[1].freeCapacity = m_minima[0].freeCapacity;
    m_minima.erase(m_minima.begin());
}

MicroTokens SlotBucket::minFreeCapacitySince(BucketMark mark) const
{
    const auto it
        = std::lower_bound(m_minima.begin(), m_minima.end(), mark, [](const CapacityMinimum &minimum, BucketMark wanted) { return minimum.mark < wanted; });
    return it == m_minima.end() ? 0 : it->freeCapacity - m_totalCredited;
}

} // namespace snipeferry::limits
