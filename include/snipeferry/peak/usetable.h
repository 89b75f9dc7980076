#pragma once

#include "snipeferry/peak/messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <vector>

namespace snipeferry::peak {

/** @brief Returns the number of whole minutes from the Unix epoch to a wall-clock time. */
std::int64_t minuteOf(absl::Time wallTime);

/** @brief Returns the number of calendar months in UTC from the Unix epoch to a minute. */
std::int64_t monthOf(std::int64_t minute);

/**
 * Stores the tokens by minute, region and instance, and the busiest minute of each region and month.
 *
 * Merging takes the larger value of each entry. It is therefore idempotent and commutative, and totals never decrease.
 */
class UseTable
{
public:
    /** @brief Merges one entry. @return whether it changed the table */
    bool merge(const MinuteUse &use, absl::Time now);
    bool merge(const RegionPeak &peak);

    core::Tokens total(const core::RegionId &region, std::int64_t minute) const;
    core::Tokens peak(const core::RegionId &region, std::int64_t month) const;

    /** @brief Returns the earliest minute with entries, or the maximum of std::int64_t if the table is empty. */
    std::int64_t firstMinute() const;

    /**
     * @brief Estimates the tokens used in a minute until now.
     *
     * The estimate consists of the reported tokens and of the tokens that the instances have probably used since their last reports, computed from
     * the rate of each instance in the previous minute.
     * @param except instance whose entries are up to date, so that no unreported tokens are added for this instance
     */
    core::Tokens estimate(const core::RegionId &region, std::int64_t minute, absl::Time now, const core::InstanceId &except) const;

    /** @brief Returns the entries that changed at or after a time, at most maxEntries and newest minutes first, and all peaks of a month. */
    LedgerReport changedSince(absl::Time since, std::int64_t month, std::size_t maxEntries) const;

    /** @brief Returns a region's entries of a minute and of the previous minute, and the region's peak of the month. */
    LedgerReport regionReport(const core::RegionId &region, std::int64_t minute) const;

    /** @brief Removes entries before a minute and peaks before a month. */
    void dropBefore(std::int64_t minute, std::int64_t month);

private:
    struct Entry
    {
        core::Tokens tokens = 0;
        absl::Time changedAt;
        /** Seconds from the start of the minute to the last change, at most 60. */
        double reportedSecond = 0;
    };

    struct RegionMinute
    {
        std::map<core::InstanceId, Entry> instances;
        core::Tokens total = 0;
        /** Sum of the rates of all instances in the previous minute, in tokens per second. */
        double rateSum = 0;
        /** Sum, over all instances, of the instance's rate in the previous minute multiplied by its reportedSecond in this minute. */
        double weightedReports = 0;
    };

    RegionMinute &findOrAdd(const core::RegionId &region, std::int64_t minute);
    /** Returns the tokens per second that an instance used in the given earlier minute, or 0 if there is no entry. */
    static double rateIn(const RegionMinute *earlierMinute, const core::InstanceId &instance);
    const RegionMinute *find(const core::RegionId &region, std::int64_t minute) const;

    std::map<std::int64_t, std::map<core::RegionId, RegionMinute>> m_minutes;
    std::map<std::pair<std::int64_t, core::RegionId>, core::Tokens> m_peaks;
};

} // namespace snipeferry::peak
