#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace snipeferry::operations {

/** Timeouts, lifetimes and limits of operations. */
struct OperationSettings
{
    /** Claims stay in the platform's store at least this long, and at most twice as long. */
    absl::Duration claimRetention = absl::Hours(24);
    /** A call is refused if the outcome of its claim is not known after this time. */
    absl::Duration claimTimeout = absl::Seconds(3);
    /** A claim that is still without an outcome after this time is reported as one whose outcome is unknown. */
    absl::Duration progressLimit = absl::Minutes(15);
    /** How long an instance retries to write the outcome of a run to the platform. */
    absl::Duration writeTimeout = absl::Minutes(10);
    absl::Duration callTimeout = absl::Seconds(1);
    absl::Duration retryInterval = absl::Milliseconds(200);
    /** An issued number that was not used is removed after this time. */
    absl::Duration unusedNumberLifetime = absl::Minutes(10);
    /** A number whose run finished is removed after this time; calls with it are refused from then on. */
    absl::Duration finishedNumberLifetime = absl::Hours(1);
    /** Larger answers are not stored; a repeated call is refused with the error that the operation ran. */
    std::size_t maxAnswerBytes = 65'536;
    /** Limit on the total size of the answers stored for issued numbers. */
    std::size_t maxTotalAnswerBytes = 16'777'216;
    /** Limit on stored numbers; beyond it the oldest ones that are not running are removed. */
    std::size_t maxNumbers = 20'000;
    /** Limit on open claims; calls beyond it are refused. */
    std::size_t maxClaims = 10'000;
};

} // namespace snipeferry::operations
