#pragma once

#include <absl/time/time.h>

namespace snipeferry::limits {

/** Timing of limits. Each instance measures these durations by its own monotonic clock. */
struct LimitSettings
{
    /** How long a grant can be used. The receiver counts from when it sent its request. */
    absl::Duration grantLifetime = absl::Seconds(2);
    /** How long an owner may issue tokens after a promise of an instance in its data centre, or after a renewal at the platform. */
    absl::Duration slotLease = absl::Seconds(4);
    /** Added to the grant lifetime wherever an instance waits until no other instance can use a grant any more. */
    absl::Duration clockMargin = absl::Seconds(1);
};

} // namespace snipeferry::limits
