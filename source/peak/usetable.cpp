#include "snipeferry/peak/usetable.h"

#include <absl/time/civil_time.h>

#include <algorithm>
#include <limits>

namespace snipeferry::peak {

namespace {

constexpr double SECONDS_PER_MINUTE = 60;
/** Largest factor by which estimate() assumes a rate to have grown since the previous minute. */
constexpr double MAX_GROWTH = 3;

absl::Time minuteStart(std::int64_t minute)
{
    return absl::FromUnixSeconds(minute * static_cast<std::int64_t>(SECONDS_PER_MINUTE));
}

} // namespace

std::int64_t minuteOf(absl::Time wallTime)
{
    return absl::ToUnixSeconds(wallTime) / static_cast<std::int64_t>(SECONDS_PER_MINUTE);
}

std::int64_t monthOf(std::int64_t minute)
{
    return absl::ToCivilMonth(minuteStart(minute), absl::UTCTimeZone()) - absl::CivilMonth(1970, 1);
}

bool UseTable::merge(const MinuteUse &use, absl::Time now)
{
    RegionMinute &regionMinute = findOrAdd(use.region, use.minute);
    Entry &entry = regionMinute.instances[use.instance];
    if (use.tokens <= entry.tokens) {
        return false;
    }
    const core::Tokens added = use.tokens - entry.tokens;
    regionMinute.total += added;

    // Updates the sums that estimate() uses: that of this minute, because of the newer report, and those of the next minute, which depend on the rate in
    // this minute.
    const double second = std::clamp(absl::ToDoubleSeconds(now - minuteStart(use.minute)), 0.0, SECONDS_PER_MINUTE);
    regionMinute.weightedReports += rateIn(find(use.region, use.minute - 1), use.instance) * (second - entry.reportedSecond);
    entry = {use.tokens, now, second};
    const auto nextMinute = m_minutes.find(use.minute + 1);
    if (nextMinute != m_minutes.end()) {
        const auto regionInNextMinute = nextMinute->second.find(use.region);
        if (regionInNextMinute != nextMinute->second.end()) {
            const double rate = static_cast<double>(added) / SECONDS_PER_MINUTE;
            const auto entryInNextMinute = regionInNextMinute->second.instances.find(use.instance);
            regionInNextMinute->second.rateSum += rate;
            regionInNextMinute->second.weightedReports
                += entryInNextMinute == regionInNextMinute->second.instances.end() ? 0 : rate * entryInNextMinute->second.reportedSecond;
        }
    }
    merge(RegionPeak{use.region, monthOf(use.minute), regionMinute.total});
    return true;
}

bool UseTable::merge(const RegionPeak &peak)
{
    core::Tokens &known = m_peaks[{peak.month, peak.region}];
    if (peak.tokensPerMinute <= known) {
        return false;
    }
    known = peak.tokensPerMinute;
    return true;
}

core::Tokens UseTable::total(const core::RegionId &region, std::int64_t minute) const
{
    const RegionMinute *found = find(region, minute);
    return found == nullptr ? 0 : found->total;
}

core::Tokens UseTable::peak(const core::RegionId &region, std::int64_t month) const
{
    const auto it = m_peaks.find({month, region});
    return it == m_peaks.end() ? 0 : it->second;
}

std::int64_t UseTable::firstMinute() const
{
    return m_minutes.empty() ? std::numeric_limits<std::int64_t>::max() : m_minutes.begin()->first;
}

core::Tokens UseTable::estimate(const core::RegionId &region, std::int64_t minute, absl::Time now, const core::InstanceId &except) const
{
    const RegionMinute *current = find(region, minute);
    const RegionMinute *previous = find(region, minute - 1);
    const double second = std::clamp(absl::ToDoubleSeconds(now - minuteStart(minute)), 0.0, SECONDS_PER_MINUTE);

    // Computes the tokens that the instances have used since their last reports, from their rates in the previous minute.
    const double ownRate = rateIn(previous, except);
    if (current == nullptr) {
        const double otherRates = previous == nullptr ? 0 : static_cast<double>(previous->total) / SECONDS_PER_MINUTE - ownRate;
        return static_cast<core::Tokens>(otherRates * second);
    }
    const auto own = current->instances.find(except);
    const double ownUnreported = ownRate * (second - (own == current->instances.end() ? 0 : own->second.reportedSecond));
    const double unreported = current->rateSum * second - current->weightedReports - ownUnreported;

    // Scales the unreported tokens by the growth since the previous minute: if the reported use has grown, the unreported use has probably grown as well.
    const double reportedAtPreviousRates = std::max(1.0, current->weightedReports);
    const double growth = std::clamp(static_cast<double>(current->total) / reportedAtPreviousRates, 1.0, MAX_GROWTH);
    return current->total + static_cast<core::Tokens>(std::max(0.0, unreported) * growth);
}

LedgerReport UseTable::changedSince(absl::Time since, std::int64_t month, std::size_t maxEntries) const
{
    LedgerReport report;
    for (auto minute = m_minutes.rbegin(); minute != m_minutes.rend(); ++minute) {
        for (const auto &region : minute->second) {
            for (const auto &instance : region.second.instances) {
                if (instance.second.changedAt >= since && report.uses.size() < maxEntries) {
                    report.uses.push_back({instance.first, region.first, minute->first, instance.second.tokens});
                }
            }
        }
    }
    for (const auto &peak : m_peaks) {
        if (peak.first.first == month) {
            report.peaks.push_back({peak.first.second, month, peak.second});
        }
    }
    return report;
}

LedgerReport UseTable::regionReport(const core::RegionId &region, std::int64_t minute) const
{
    LedgerReport report;
    for (const std::int64_t recent : {minute - 1, minute}) {
        const RegionMinute *found = find(region, recent);
        if (found == nullptr) {
            continue;
        }
        for (const auto &instance : found->instances) {
            report.uses.push_back({instance.first, region, recent, instance.second.tokens});
        }
    }
    const std::int64_t month = monthOf(minute);
    report.peaks.push_back({region, month, peak(region, month)});
    return report;
}

void UseTable::dropBefore(std::int64_t minute, std::int64_t month)
{
    m_minutes.erase(m_minutes.begin(), m_minutes.lower_bound(minute));
    m_peaks.erase(m_peaks.begin(), m_peaks.lower_bound({month, core::RegionId()}));
}

UseTable::RegionMinute &UseTable::findOrAdd(const core::RegionId &region, std::int64_t minute)
{
    const auto inserted = m_minutes[minute].try_emplace(region);
    RegionMinute &added = inserted.first->second;
    const RegionMinute *previous = find(region, minute - 1);
    if (inserted.second && previous != nullptr) {
        added.rateSum = static_cast<double>(previous->total) / SECONDS_PER_MINUTE;
    }
    return added;
}

double UseTable::rateIn(const RegionMinute *earlierMinute, const core::InstanceId &instance)
{
    if (earlierMinute == nullptr) {
        return 0;
    }
    const auto it = earlierMinute->instances.find(instance);
    return it == earlierMinute->instances.end() ? 0 : static_cast<double>(it->second.tokens) / SECONDS_PER_MINUTE;
}

const UseTable::RegionMinute *UseTable::find(const core::RegionId &region, std::int64_t minute) const
{
    const auto byMinute = m_minutes.find(minute);
    if (byMinute == m_minutes.end()) {
        return nullptr;
    }
    const auto byRegion = byMinute->second.find(region);
    return byRegion == byMinute->second.end() ? nullptr : &byRegion->second;
}

} // namespace snipeferry::peak
