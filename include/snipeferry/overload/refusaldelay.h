#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <random>

namespace snipeferry::overload {

/** Chooses the Retry-After times of requests that are refused for want of room. */
class RefusalDelay
{
public:
    /** Shorter times bring callers back before the room at backend servers can have changed: a view of another region is up to a second old. */
    static constexpr absl::Duration MIN_DELAY = absl::Milliseconds(300);
    /** Callers honour the time up to a third of what they have left. A quarter leaves them most of their time for the second attempt. */
    static constexpr double MAX_SHARE_OF_TIME_LEFT = 0.25;
    /** The time is multiplied by a random factor between 1 and this one, so that the retries are spread over an interval as long as the wait. */
    static constexpr double MAX_SPREAD = 2.0;

    explicit RefusalDelay(std::uint64_t seed);

    /**
     * @brief Chooses the Retry-After time of one refusal.
     * @param excess expected wait beyond its bound; less than MIN_DELAY counts as MIN_DELAY
     * @param timeLeft until the caller's time limit
     * @return empty if the caller has too little time left for a second attempt, so that the refusal is final
     */
    std::optional<absl::Duration> choose(absl::Duration excess, absl::Duration timeLeft);

private:
    std::mt19937_64 m_random;
};

} // namespace snipeferry::overload
