#include "snipeferry/overload/refusaldelay.h"

#include <algorithm>

namespace snipeferry::overload {

RefusalDelay::RefusalDelay(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<absl::Duration> RefusalDelay::choose(absl::Duration excess, absl::Duration timeLeft)
{
    const double factor = std::uniform_real_distribution<double>(1.0, MAX_SPREAD)(m_random);
    const absl::Duration delay = std::max(MIN_DELAY, excess) * factor;
    if (delay > timeLeft * MAX_SHARE_OF_TIME_LEFT) {
        return std::nullopt;
    }
    return delay;
}

} // namespace snipeferry::overload
