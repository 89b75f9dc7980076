#pragma once

#include "snipeferry/core/ids.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

/**
 * Checker for a history of admissions: in no time window may more be admitted than rate and burst allow.
 */
namespace snipeferry::history {

/** An admitted request and the tokens that it used. */
struct Admission
{
    absl::Time time;
    double used = 0;
};

/** A limit that applies from a time on. While instances have different limits, it is the higher one. */
struct LimitEpoch
{
    absl::Time from;
    double ratePerSecond = 0;
    double burst = 0;
};

/**
 * @brief Finds a time window in which more tokens were admitted than burst + rate x length.
 * @param admissions in any order
 * @param epochs sorted by time; the first one begins before all admissions
 * @return a description of the first violation
 */
std::optional<std::string> findRateViolation(std::vector<Admission> admissions, const std::vector<LimitEpoch> &epochs);

} // namespace snipeferry::history
