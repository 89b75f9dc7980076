#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/duties/dutyport.h"
#include "snipeferry/duties/dutysettings.h"
#include "snipeferry/duties/usagecounter.h"
#include "snipeferry/gateway/ports.h"

#include <map>
#include <random>
#include <set>

namespace snipeferry::duties {

/** This process, as the holder's record names it. */
struct DutyIdentity
{
    std::string instance;
    std::uint64_t process = 0;
};

/**
 * Acquires the duties for this instance when nobody has them, keeps them, and sends the usage reports.
 *
 * Between two events that it depends on it trusts nothing: it acts only within a time after a write of its record was confirmed, and sends a report only after
 * the store has confirmed its counts.
 */
class DutyHolder
{
public:
    DutyHolder(DutySettings settings, DutyIdentity self, std::uint64_t seed, core::TimerService &timers, const WallClock &clock, const DutyFleet &fleet,
        DutyPort &port, gateway::Journal &journal);

    /** @brief Notes the store's era that an answer named. A newer one means that the store has come back from a copy. */
    void noteEra(std::int64_t era);

    /** @brief The answer to DutyPort::readHolder(); none if there was none that could be read. */
    void holderRead(const std::optional<HolderReading> &reading);
    /** @brief The answer to DutyPort::readUsage(); none if there was none that could be read. */
    void usageRead(const std::optional<std::vector<RegionUsage>> &records);
    void swapped(const SwapAnswer &answer);
    void reported(CallOutcome outcome);

    /** @brief Whether this instance may send a call now. */
    bool mayAct() const;

private:
    void tick();
    void follow();
    void hold();
    void acquire(const HolderReading &reading);
    void swap(std::int64_t expectedCounter, const std::vector<std::string> &removedKeys);
    void acquisitionAnswered(const SwapAnswer &answer);
    void renewalAnswered(const SwapAnswer &answer);
    void lose(const std::string &reason);
    /** Composes the next report as soon as its sums are known. */
    void prepareReport();
    void composeReport(WindowNumber window);
    void omitLateWindows();
    /** Sends the report in progress, if the store has confirmed it. */
    void sendReport();
    void finishReport();
    bool isOwn(const HolderRecord &record) const;
    /** Time until which the last confirmed write lets this instance act. */
    absl::Time authorityEnd() const;
    /** Whether a report for a window would be too late to count. */
    bool isLate(WindowNumber window) const;
    std::vector<std::string> removableKeys() const;

    DutySettings m_settings;
    DutyIdentity m_self;
    std::mt19937_64 m_random;
    core::TimerService &m_timers;
    const WallClock &m_clock;
    const DutyFleet &m_fleet;
    DutyPort &m_port;
    gateway::Journal &m_journal;

    std::optional<std::int64_t> m_era;
    /** Wall-clock time at which the current era was first noted. */
    absl::Time m_eraSince;
    /** Whether the store has come back from a copy since this process started. */
    bool m_hasEraRisen = false;

    /** As a follower: what the record was, and since when every read found it so. */
    std::optional<HolderReading> m_seen;
    absl::Time m_seenSince;
    bool m_isReadingHolder = false;
    absl::Time m_nextHolderRead = absl::InfinitePast();
    /** Whether the answer to an acquiring write was lost. */
    bool m_isAcquisitionUnknown = false;
    /** Until when this instance leaves the duties to others, because it did not reach the interface. */
    absl::Time m_avoidUntil = absl::InfinitePast();

    bool m_isSwapping = false;
    absl::Time m_swapSentAt = absl::InfinitePast();
    HolderRecord m_swapRecord;
    std::vector<std::string> m_swapRemovedKeys;

    bool m_isHolding = false;
    std::int64_t m_counter = 0;
    std::int64_t m_token = 0;
    absl::Time m_actFrom = absl::InfiniteFuture();
    /** When the last confirmed write was sent. */
    absl::Time m_confirmedSentAt = absl::InfinitePast();
    /** The record as this holder wants it, and as the store has confirmed it. */
    HolderRecord m_wanted;
    HolderRecord m_confirmed;

    bool m_isReadingUsage = false;
    absl::Time m_usageReadAt = absl::InfinitePast();
    std::map<WindowNumber, std::map<core::RegionId, UsageCounts>> m_usage;
    /** Keys of sums in the store, by window. */
    std::set<std::pair<WindowNumber, std::string>> m_usageKeys;

    bool m_isCalling = false;
    /** Acquisition and window of the call under way. */
    std::pair<std::uint64_t, WindowNumber> m_called;
    absl::Time m_callAt = absl::InfinitePast();
    absl::Time m_nextCallAt = absl::InfinitePast();
    absl::Duration m_callPause;
    /** Since when no call was answered; InfiniteFuture if the last one was. */
    absl::Time m_unansweredSince = absl::InfiniteFuture();
    core::Subscription m_timer;
};

} // namespace snipeferry::duties
