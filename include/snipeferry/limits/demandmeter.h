#pragma once

#include "snipeferry/limits/messages.h"

#include <absl/time/time.h>

#include <cmath>

namespace snipeferry::limits {

/** Estimates a customer's demand at this instance by an exponentially decaying average. */
class DemandMeter
{
public:
    /** @brief Adds reserved tokens; a negative amount subtracts tokens that turned out to be unused. */
    void add(MicroTokens amount, absl::Time now)
    {
        m_sum = std::max(0.0, decayed(now) + static_cast<double>(amount));
        m_updated = now;
    }

    /** @brief Returns the recent demand in tokens per second. */
    MicroTokens perSecond(absl::Time now) const
    {
        return static_cast<MicroTokens>(decayed(now) / absl::ToDoubleSeconds(TIME_CONSTANT));
    }

private:
    static constexpr absl::Duration TIME_CONSTANT = absl::Seconds(2);

    double decayed(absl::Time now) const
    {
        return m_sum == 0 ? 0 : m_sum * std::exp(-absl::ToDoubleSeconds(now - m_updated) / absl::ToDoubleSeconds(TIME_CONSTANT));
    }

    double m_sum = 0;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace snipeferry::limits
