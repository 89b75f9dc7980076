#pragma once

#include "snipeferry/core/value.h"

#include <vector>

/**
 * Messages between instances about the tokens used in each minute.
 */
namespace snipeferry::peak {

/** Tokens that one instance recorded in one minute. If there are several values for an instance and minute, the largest one is valid. */
struct MinuteUse
{
    core::InstanceId instance;
    core::RegionId region;
    /** Minutes since the Unix epoch. */
    std::int64_t minute = 0;
    core::Tokens tokens = 0;

    SNIPEFERRY_VALUE(MinuteUse, instance, region, minute, tokens)
};

/** Tokens of a region's busiest minute in a month, as known to the sender. If there are several values, the largest one is valid. */
struct RegionPeak
{
    core::RegionId region;
    /** Months since the Unix epoch. */
    std::int64_t month = 0;
    core::Tokens tokensPerMinute = 0;

    SNIPEFERRY_VALUE(RegionPeak, region, month, tokensPerMinute)
};

/** Part of a ledger that one instance sends to another, or stores at the platform. */
struct LedgerReport
{
    std::vector<MinuteUse> uses;
    std::vector<RegionPeak> peaks;

    SNIPEFERRY_VALUE(LedgerReport, uses, peaks)
};

} // namespace snipeferry::peak
