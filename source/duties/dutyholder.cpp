#include "snipeferry/duties/dutyholder.h"

#include "snipeferry/gateway/storeposition.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipeferry::duties {

namespace {

/** Interval at which due steps are looked for. */
constexpr absl::Duration TICK = absl::Milliseconds(100);
constexpr absl::Duration RENEW_PERIOD = absl::Seconds(1);
/** Shortest interval between two writes: after a lost answer, and for a new report. */
constexpr absl::Duration MIN_SWAP_INTERVAL = absl::Milliseconds(300);
/** Time from sending a confirmed write in which the holder may act, as a fraction of leaseTime (2 s of 3 s). */
constexpr double AUTHORITY_FRACTION = 2.0 / 3.0;
/** Age of an unchanged record at which it is acquired, as a fraction of leaseTime (4 s of 3 s). The holder renews each second. */
constexpr double EXPIRY_FRACTION = 4.0 / 3.0;
/** Instances that read the record each second; the others read seldom, because each read is priced. */
constexpr std::size_t NEAR_WATCHERS = 4;
constexpr absl::Duration NEAR_WATCH_PERIOD = absl::Seconds(1);
constexpr absl::Duration FAR_WATCH_PERIOD = absl::Seconds(8);
/** Time after the end of a window at which its sums are read. Aggregators write them after 1.5 s. */
constexpr absl::Duration FIRST_USAGE_READ = absl::Seconds(3);
constexpr absl::Duration USAGE_READ_PERIOD = absl::Seconds(1);
/** Time before the due time of a report until which missing regions are waited for (8 s after the window for a report due after 10 s). */
constexpr absl::Duration LAST_COMPOSE_MARGIN = absl::Seconds(2);
/** A report that is later than its due time by this is not sent any more; the clock of the holder may be ahead a little. */
constexpr absl::Duration LATE_MARGIN = absl::Seconds(1);
/** A call needs at least this much time to be worth sending. */
constexpr absl::Duration MIN_CALL_TIME = absl::Milliseconds(100);
constexpr absl::Duration MAX_CALL_TIME = absl::Milliseconds(1500);
/** Pauses between calls: at most five calls a second, fewer while they fail. */
constexpr absl::Duration FIRST_CALL_PAUSE = absl::Milliseconds(200);
constexpr absl::Duration LONGEST_CALL_PAUSE = absl::Seconds(1);
/** A holder that got no answer of the interface for so long leaves the duties to others, and for how long. Acquiring takes 4 to 5 s. */
constexpr absl::Duration UNANSWERED_TIME = absl::Seconds(5);
constexpr absl::Duration AVOID_TIME = absl::Seconds(12);
/** Records removed with one renewal; a transaction of the store has 32 entries at most. */
constexpr std::size_t MAX_REMOVED_KEYS = 20;

} // namespace

DutyHolder::DutyHolder(DutySettings settings, DutyIdentity self, std::uint64_t seed, core::TimerService &timers, const WallClock &clock, const DutyFleet &fleet,
    DutyPort &port, gateway::Journal &journal)
    : m_settings(std::move(settings)),
      m_self(std::move(self)),
      m_random(seed),
      m_timers(timers),
      m_clock(clock),
      m_fleet(fleet),
      m_port(port),
      m_journal(journal),
      m_eraSince(clock.now()),
      m_timer(timers.every(TICK, [this] { tick(); }))
{
}

void DutyHolder::noteEra(std::int64_t era)
{
    if (m_era.has_value() && era <= *m_era) {
        return;
    }
    m_hasEraRisen = m_era.has_value();
    m_era = era;
    m_eraSince = m_clock.now();
    m_seen.reset();
    if (m_isHolding) {
        lose("store_returned");
    }
}

absl::Time DutyHolder::authorityEnd() const
{
    return m_confirmedSentAt + m_settings.leaseTime * AUTHORITY_FRACTION;
}

bool DutyHolder::mayAct() const
{
    const absl::Time now = m_timers.now();
    return m_isHolding && now >= m_actFrom && now < authorityEnd() && !m_fleet.isDraining();
}

void DutyHolder::tick()
{
    if (m_fleet.isDraining()) {
        if (m_isHolding) {
            lose("draining");
        }
        return;
    }
    if (m_isHolding) {
        hold();
    } else {
        follow();
    }
}

void DutyHolder::follow()
{
    const absl::Time now = m_timers.now();
    if (m_isSwapping || m_isReadingHolder) {
        return;
    }
    if (now < m_nextHolderRead) {
        return;
    }
    // The rank costs a hash for each instance, so it is determined once for each read.
    m_nextHolderRead = now + (m_isAcquisitionUnknown ? MIN_SWAP_INTERVAL : m_fleet.watchRank() < NEAR_WATCHERS ? NEAR_WATCH_PERIOD : FAR_WATCH_PERIOD);
    m_isReadingHolder = true;
    m_port.readHolder();
}

bool DutyHolder::isOwn(const HolderRecord &record) const
{
    return record.instance == m_self.instance && record.process == m_self.process;
}

void DutyHolder::holderRead(const std::optional<HolderReading> &reading)
{
    m_isReadingHolder = false;
    if (!reading.has_value()) {
        m_seen.reset();
        return;
    }
    noteEra(reading->era);
    if (m_isHolding || m_isSwapping || m_fleet.isDraining() || reading->era != *m_era) {
        return;
    }
    const absl::Time now = m_timers.now();
    if (!m_seen.has_value() || m_seen->counter != reading->counter) {
        m_seen = reading;
        m_seenSince = now;
    }
    // What this process itself wrote last is free: it does not act on it any more.
    const bool isFree
        = reading->counter == 0 || (reading->record.has_value() && isOwn(*reading->record)) || now - m_seenSince >= m_settings.leaseTime * EXPIRY_FRACTION;
    if (isFree && now >= m_avoidUntil) {
        acquire(*reading);
    }
}

void DutyHolder::acquire(const HolderReading &reading)
{
    m_wanted = reading.record.value_or(HolderRecord());
    const WindowNumber current = windowAt(m_clock.now(), m_settings.windowLength);
    if (!reading.record.has_value()) {
        // Nobody had the duties yet, or the record is lost with the store's history.
        m_wanted.lastWindow = m_hasEraRisen ? current : windowAt(m_eraSince, m_settings.windowLength) - 1;
    } else if (reading.record->era != reading.era) {
        // Reports that were sent after the copy was made are not known. A report for any window up to now may be one of them; a missing report is better
        // than a second one with other counts. The current window is left out too, because the clock of this instance may be behind.
        m_wanted.lastWindow = std::max(m_wanted.lastWindow, current);
    }
    m_wanted.instance = m_self.instance;
    m_wanted.process = m_self.process;
    m_wanted.acquisition = m_random();
    m_wanted.era = reading.era;
    swap(reading.counter, {});
}

void DutyHolder::swap(std::int64_t expectedCounter, const std::vector<std::string> &removedKeys)
{
    m_isSwapping = true;
    m_swapSentAt = m_timers.now();
    m_swapRecord = m_wanted;
    m_swapRemovedKeys = removedKeys;
    m_port.swapHolder(expectedCounter, m_swapRecord, removedKeys);
}

void DutyHolder::swapped(const SwapAnswer &answer)
{
    m_isSwapping = false;
    if (answer.outcome != SwapAnswer::Outcome::Unknown) {
        noteEra(answer.stored.era);
    }
    if (m_isHolding && m_swapRecord.acquisition == m_wanted.acquisition) {
        renewalAnswered(answer);
    } else if (!m_isHolding) {
        acquisitionAnswered(answer);
    }
}

void DutyHolder::acquisitionAnswered(const SwapAnswer &answer)
{
    const absl::Time now = m_timers.now();
    m_isAcquisitionUnknown = answer.outcome == SwapAnswer::Outcome::Unknown;
    if (m_isAcquisitionUnknown) {
        m_nextHolderRead = std::min(m_nextHolderRead, now + MIN_SWAP_INTERVAL);
    }
    if (answer.outcome == SwapAnswer::Outcome::Conflict) {
        m_seen = answer.stored;
        m_seenSince = now;
    }
    // An answer of another era than the one that was read says nothing of the record that this write was meant for. The same if this is the answer to a
    // renewal, and the duties were lost while it was under way.
    const bool isAcquired = answer.outcome == SwapAnswer::Outcome::Written && answer.stored.era == m_swapRecord.era && answer.stored.era == *m_era
        && m_swapRecord.acquisition == m_wanted.acquisition && m_confirmed.acquisition != m_swapRecord.acquisition && !m_fleet.isDraining();
    if (!isAcquired) {
        return;
    }
    m_isHolding = true;
    m_counter = answer.stored.counter;
    m_token = gateway::positionOf(answer.stored.era, answer.stored.counter);
    m_confirmedSentAt = m_swapSentAt;
    m_confirmed = m_swapRecord;
    // By then the calls of the holder before are over, and its authority.
    m_actFrom = now + m_settings.leaseTime;
    m_unansweredSince = absl::InfiniteFuture();
    m_callPause = absl::ZeroDuration();
    m_journal.count("duty_acquisitions_total", "", 1);
    m_journal.log(core::LogEvent{"duty_acquired", {}}
                      .with("token", absl::StrCat(m_token))
                      .with("last_window", absl::StrCat(m_wanted.lastWindow))
                      .with("pending_window", m_wanted.pending.has_value() ? absl::StrCat(m_wanted.pending->window) : "none"));
}

void DutyHolder::renewalAnswered(const SwapAnswer &answer)
{
    if (answer.outcome == SwapAnswer::Outcome::Unknown) {
        return;
    }
    // noteEra() has ended the holding if the era is newer. An answer of an earlier era is none.
    if (answer.stored.era != m_swapRecord.era) {
        return;
    }
    if (answer.outcome == SwapAnswer::Outcome::Written) {
        m_counter = answer.stored.counter;
        m_confirmed = m_swapRecord;
        m_confirmedSentAt = m_swapSentAt;
        for (const std::string &key : m_swapRemovedKeys) {
            const auto it = std::find_if(m_usageKeys.begin(), m_usageKeys.end(), [&key](const auto &entry) { return entry.second == key; });
            if (it != m_usageKeys.end()) {
                m_usageKeys.erase(it);
            }
        }
        return;
    }
    // An earlier renewal whose answer was lost has been carried out. The record is still this holder's, as of the time when this renewal was sent or later.
    const bool isOwnWrite = answer.stored.record.has_value() && answer.stored.record->acquisition == m_wanted.acquisition;
    if (!isOwnWrite) {
        lose("record_taken");
        return;
    }
    m_counter = answer.stored.counter;
    m_confirmed = *answer.stored.record;
    m_confirmedSentAt = m_swapSentAt;
}

void DutyHolder::lose(const std::string &reason)
{
    m_isHolding = false;
    m_seen.reset();
    m_usage.clear();
    m_nextHolderRead = absl::InfinitePast();
    m_journal.count("duty_losses_total", reason, 1);
    m_journal.log(core::LogEvent{"duty_lost", {}}
                      .with("reason", reason)
                      .with("token", absl::StrCat(m_token))
                      .with("confirmed_ago_ms", absl::StrCat(absl::ToInt64Milliseconds(m_timers.now() - m_confirmedSentAt))));
}

void DutyHolder::hold()
{
    prepareReport();
    sendReport();
    if (!m_isHolding || m_isSwapping) {
        return;
    }
    const absl::Duration sinceSwap = m_timers.now() - m_swapSentAt;
    const bool hasNewReport = m_wanted.pending.has_value() && m_confirmed.pending != m_wanted.pending;
    const bool isUnconfirmed = m_confirmedSentAt != m_swapSentAt;
    if (sinceSwap >= (hasNewReport || isUnconfirmed ? MIN_SWAP_INTERVAL : RENEW_PERIOD)) {
        swap(m_counter, removableKeys());
    }
}

std::vector<std::string> DutyHolder::removableKeys() const
{
    std::vector<std::string> keys;
    for (const auto &entry : m_usageKeys) {
        // A removed record could be written again by a late aggregator; behind the due time none writes.
        if (keys.size() == MAX_REMOVED_KEYS || entry.first > m_confirmed.lastWindow || !isLate(entry.first)) {
            break;
        }
        keys.push_back(entry.second);
    }
    return keys;
}

bool DutyHolder::isLate(WindowNumber window) const
{
    return m_clock.now() > windowEnd(window, m_settings.windowLength) + m_settings.reportTime + LATE_MARGIN;
}

void DutyHolder::omitLateWindows()
{
    WindowNumber firstInTime = windowAt(m_clock.now() - m_settings.reportTime - LATE_MARGIN, m_settings.windowLength);
    while (isLate(firstInTime)) {
        ++firstInTime;
    }
    if (m_wanted.lastWindow + 1 >= firstInTime) {
        return;
    }
    m_journal.count("usage_windows_omitted_total", "", static_cast<double>(firstInTime - m_wanted.lastWindow - 1));
    m_journal.log(core::LogEvent{"usage_windows_omitted", {}}
                      .with("first", absl::StrCat(m_wanted.lastWindow + 1))
                      .with("last", absl::StrCat(firstInTime - 1))
                      .with("reason", "late"));
    m_wanted.lastWindow = firstInTime - 1;
}

void DutyHolder::prepareReport()
{
    if (m_wanted.pending.has_value()) {
        return;
    }
    omitLateWindows();
    const WindowNumber window = m_wanted.lastWindow + 1;
    const absl::Duration sinceEnd = m_clock.now() - windowEnd(window, m_settings.windowLength);
    if (sinceEnd < FIRST_USAGE_READ) {
        return;
    }
    const auto known = m_usage.find(window);
    if (known != m_usage.end()) {
        const std::vector<core::RegionId> regions = m_fleet.liveRegions();
        const bool isComplete
            = std::all_of(regions.begin(), regions.end(), [&known](const core::RegionId &region) { return known->second.count(region) != 0; });
        if (isComplete || sinceEnd >= m_settings.reportTime - LAST_COMPOSE_MARGIN) {
            composeReport(window);
            return;
        }
    }
    const absl::Time now = m_timers.now();
    if (!m_isReadingUsage && now - m_usageReadAt >= USAGE_READ_PERIOD) {
        m_usageReadAt = now;
        m_isReadingUsage = true;
        m_port.readUsage();
    }
}

void DutyHolder::composeReport(WindowNumber window)
{
    WindowUsage report{window, {}};
    std::int64_t runs = 0;
    for (const auto &region : m_usage.at(window)) {
        for (const auto &count : region.second) {
            report.counts[count.first] += count.second;
            runs += count.second;
        }
    }
    m_journal.log(core::LogEvent{"usage_composed", {}}
                      .with("window", absl::StrCat(window))
                      .with("regions", absl::StrCat(m_usage.at(window).size()))
                      .with("live_regions", absl::StrCat(m_fleet.liveRegions().size()))
                      .with("customers", absl::StrCat(report.counts.size()))
                      .with("runs", absl::StrCat(runs))
                      .with("after_end_ms", absl::StrCat(absl::ToInt64Milliseconds(m_clock.now() - windowEnd(window, m_settings.windowLength)))));
    m_wanted.pending = std::move(report);
}

void DutyHolder::usageRead(const std::optional<std::vector<RegionUsage>> &records)
{
    m_isReadingUsage = false;
    if (!m_isHolding || !records.has_value()) {
        return;
    }
    m_usage.clear();
    m_usageKeys.clear();
    for (const RegionUsage &record : *records) {
        m_usageKeys.emplace(record.usage.window, record.key);
        if (record.usage.window > m_wanted.lastWindow) {
            m_usage[record.usage.window][record.region] = record.usage.counts;
        }
    }
    hold();
}

void DutyHolder::sendReport()
{
    const bool isConfirmed = m_confirmed.pending.has_value() && m_confirmed.pending == m_wanted.pending;
    if (!isConfirmed || m_isCalling) {
        return;
    }
    if (isLate(m_wanted.pending->window)) {
        m_journal.count("usage_windows_omitted_total", "", 1);
        m_journal.log(core::LogEvent{"usage_windows_omitted", {}}
                          .with("first", absl::StrCat(m_wanted.pending->window))
                          .with("last", absl::StrCat(m_wanted.pending->window))
                          .with("reason", "not_accepted_in_time"));
        finishReport();
        return;
    }
    const absl::Time now = m_timers.now();
    const absl::Duration timeLimit = std::min(authorityEnd() - now, MAX_CALL_TIME);
    if (now < m_nextCallAt || timeLimit < MIN_CALL_TIME || !mayAct()) {
        return;
    }
    m_isCalling = true;
    m_called = {m_wanted.acquisition, m_wanted.pending->window};
    m_callAt = now;
    m_port.report(m_token, *m_wanted.pending, timeLimit);
}

void DutyHolder::finishReport()
{
    m_wanted.lastWindow = std::max(m_wanted.lastWindow, m_wanted.pending->window);
    m_wanted.pending.reset();
}

void DutyHolder::reported(CallOutcome outcome)
{
    m_isCalling = false;
    const absl::Time now = m_timers.now();
    m_callPause = outcome == CallOutcome::Accepted ? FIRST_CALL_PAUSE : std::clamp(m_callPause * 2, FIRST_CALL_PAUSE, LONGEST_CALL_PAUSE);
    m_nextCallAt = std::max(m_callAt + FIRST_CALL_PAUSE, outcome == CallOutcome::Accepted ? now : now + m_callPause);
    const char *name = outcome == CallOutcome::Accepted ? "accepted" : outcome == CallOutcome::Refused ? "refused" : "unanswered";
    m_journal.count("usage_calls_total", name, 1);
    m_journal.log(core::LogEvent{"usage_call", {}}
                      .with("window", absl::StrCat(m_called.second))
                      .with("outcome", name)
                      .with("token", absl::StrCat(m_token))
                      .with("took_ms", absl::StrCat(absl::ToInt64Milliseconds(now - m_callAt)))
                      .with("after_end_ms", absl::StrCat(absl::ToInt64Milliseconds(m_clock.now() - windowEnd(m_called.second, m_settings.windowLength)))));
    if (!m_isHolding || m_called.first != m_wanted.acquisition || !m_wanted.pending.has_value() || m_wanted.pending->window != m_called.second) {
        return;
    }
    if (outcome == CallOutcome::Accepted) {
        m_unansweredSince = absl::InfiniteFuture();
        finishReport();
        hold();
        return;
    }
    if (outcome == CallOutcome::Refused) {
        m_unansweredSince = absl::InfiniteFuture();
        return;
    }
    m_unansweredSince = std::min(m_unansweredSince, m_callAt);
    if (now - m_unansweredSince >= UNANSWERED_TIME) {
        m_avoidUntil = now + AVOID_TIME;
        lose("interface_unanswered");
    }
}

} // namespace snipeferry::duties
