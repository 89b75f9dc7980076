#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <random>

namespace snipeferry::net {

/** Pauses between failed calls; they grow, and differ between instances. */
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    absl::Duration next()
    {
        m_pause = std::clamp(m_pause * 2, FIRST_PAUSE, LONGEST_PAUSE);
        return m_pause * std::uniform_real_distribution<double>(0.5, 1.0)(m_random);
    }

    void reset()
    {
        m_pause = absl::ZeroDuration();
    }

private:
    static constexpr absl::Duration FIRST_PAUSE = absl::Milliseconds(100);
    static constexpr absl::Duration LONGEST_PAUSE = absl::Milliseconds(800);

    absl::Duration m_pause;
    std::mt19937_64 m_random;
};

} // namespace snipeferry::net
