#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace snipeferry::operations {

/** How long claims and operation numbers are kept and retried, and how many of them an instance holds. */
struct OperationSettings
{
    /** A record usually stays in the platform's store for at least this long after it is written, and never more than twice as long. */
    absl::Duration claimRetention = absl::Hours(24);
    /** A call is refused if it is still unknown this long after begin() whether its key was claimed. */
    absl::Duration claimTimeout = absl::Seconds(3);
    /** A record that has no outcome this long after its claimedAt counts as one whose outcome is unknown. */
    absl::Duration progressLimit = absl::Minutes(15);
    /** How long an instance retries to write the outcome of a run to the platform, from the end of the run. */
    absl::Duration writeTimeout = absl::Minutes(10);
    /** Timeout of one call to the platform. */
    absl::Duration callTimeout = absl::Seconds(1);
    /** Delay before the next attempt to claim a key, to read its record back or to write an outcome. */
    absl::Duration retryInterval = absl::Milliseconds(200);
    /** An unused operation number is removed this long after its issue, or after its last call ended without being run. */
    absl::Duration unusedNumberLifetime = absl::Minutes(10);
    /** A used operation number is removed this long after its run finished; later calls with the number are refused. */
    absl::Duration finishedNumberLifetime = absl::Hours(1);
    /** Larger answers are not stored; a repeated call is refused with the error that the operation ran but its answer was not kept. */
    std::size_t maxAnswerBytes = 65'536;
    /** Limit on the total size of the answers that an instance stores for operation numbers. */
    std::size_t maxTotalAnswerBytes = 16'777'216;
    /** Limit on the operation numbers that an instance stores. Above it, the oldest numbers whose call is not running are removed. */
    std::size_t maxNumbers = 20'000;
    /** Limit on the open claims of an instance. Calls that would need another claim are refused. */
    std::size_t maxClaims = 10'000;
};

} // namespace snipeferry::operations
