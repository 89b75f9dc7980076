#include "snipeferry/peak/peakledger.h"

#include "snipeferry/peak/usetable.h"
#include "snipeferry/platform/keys.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <variant>

namespace snipeferry::peak {

namespace {

constexpr absl::Duration GOSSIP_PERIOD = absl::Seconds(5);
/** Changed entries are sent to other instances for this long after the change. */
constexpr absl::Duration GOSSIP_WINDOW = absl::Seconds(15);
constexpr std::size_t MIN_GOSSIP_FANOUT = 2;
constexpr std::size_t MAX_GOSSIP_FANOUT = 8;
/** Upper bound of the entries that are sent to all peers together in one gossip period; the fan-out is derived from this bound. */
constexpr std::size_t ENTRIES_PER_PERIOD = 400;
constexpr std::size_t MAX_ENTRIES_PER_REPORT = 200;
/** How long after the start of a minute the region's entries of that minute and of the previous one are written to the platform. */
constexpr absl::Duration WRITE_OFFSET = absl::Seconds(10);
constexpr absl::Duration MINUTE = absl::Minutes(1);
constexpr std::int64_t MINUTES_KEPT = 10;
constexpr std::int64_t FUTURE_MINUTES_ACCEPTED = 2;
constexpr int FORECAST_MINUTES = 3;
constexpr int MAX_WRITE_RETRIES = 2;
/** Moved requests may fill another region up to this share of its peak; the rest is reserved for use that is not reported yet. */
constexpr double MAX_MOVE_FILL = 0.97;
/** Longest time until advice is requested again for a held request. */
constexpr absl::Duration HOLD_RECHECK_INTERVAL = absl::Seconds(5);
/** Time after which the reports of another region are assumed to include the requests that were sent there. */
constexpr absl::Duration MOVE_REPORT_DELAY = absl::Seconds(10);

/** A request that was sent to another region. */
struct Move
{
    core::RegionId region;
    core::Tokens tokens = 0;
    absl::Time sentAt;
};

std::uint64_t writerRank(const core::InstanceId &instance, std::int64_t minute)
{
    return std::hash<std::string>{}(instance.value() + "@" + std::to_string(minute));
}

} // namespace

double holdShare(const core::RequestId &request)
{
    constexpr std::uint64_t STEPS = 1000;
    return static_cast<double>(XXH64(request.value().data(), request.value().size(), 0) % STEPS) / static_cast<double>(STEPS);
}

class PeakLedger::Impl
{
public:
    Impl(membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
        : m_self(std::move(self)),
          // A restarted process counts from zero, so each incarnation is a separate instance in the table.
          m_tableIdentity(m_self.id.value() + "#" + std::to_string(m_self.incarnation)),
          m_timers(timers),
          m_outbox(outbox),
          m_gossipTimer(timers.every(GOSSIP_PERIOD, [this] { tick(); }))
    {
    }

    void configure(const configuration::Configuration &configuration)
    {
        m_region = configuration::regionOf(configuration, m_self.dataCentre);
        m_regionOf.clear();
        for (const configuration::Region &region : configuration.regions) {
            for (const configuration::DataCentre &dataCentre : region.dataCentres) {
                m_regionOf[dataCentre.id] = region.id;
            }
        }
        if (!m_isRestored && m_restoreCall == 0) {
            restore();
        }
    }

    void setMembers(const std::vector<membership::InstanceDescription> &members)
    {
        m_members = members;
        std::sort(m_members.begin(), m_members.end(),
            [](const membership::InstanceDescription &left, const membership::InstanceDescription &right) { return left.id < right.id; });
        m_regionMemberCount = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [this](const auto &member) {
            const auto region = m_regionOf.find(member.dataCentre);
            return region != m_regionOf.end() && region->second == m_region;
        }));
    }

    void noteMoved(const core::RegionId &region, core::Tokens tokens)
    {
        while (!m_moves.empty() && m_moves.front().sentAt + MOVE_REPORT_DELAY <= m_timers.now()) {
            m_moves.pop_front();
        }
        if (region != m_region) {
            m_moves.push_back({region, tokens, m_timers.now()});
        }
    }

    void record(core::Tokens tokens)
    {
        if (m_region.isEmpty() || tokens <= 0) {
            return;
        }
        const std::int64_t minute = currentMinute();
        if (minute != m_ownMinute) {
            m_ownMinute = minute;
            m_ownTokens = 0;
        }
        m_ownTokens += tokens;
        m_table.merge(MinuteUse{m_tableIdentity, m_region, minute, m_ownTokens}, m_timers.wallNow());
    }

    void addReserved(core::Tokens tokens)
    {
        m_reserved = std::max<core::Tokens>(0, m_reserved + tokens);
    }

    PeakAdvice advise(const PeakQuery &query) const
    {
        const bool isOwnRegionAllowed = std::find(query.allowedRegions.begin(), query.allowedRegions.end(), m_region) != query.allowedRegions.end();
        PeakAdvice advice;

        // For a request that can wait, the forecast use counts as well: a minute that will be full is left to requests that cannot wait.
        const bool canWait = query.holdLeft > absl::ZeroDuration();
        const core::Tokens remainingOwnCapacity = monthPeak(m_region) - (canWait ? std::max(estimate(m_region), forecast(m_region, 0)) : estimate(m_region));
        if (isOwnRegionAllowed && query.expectedTokens <= remainingOwnCapacity) {
            return advice;
        }

        // Finds other allowed regions with capacity left under their peaks, the region with the most capacity left first.
        std::vector<std::pair<double, core::RegionId>> regionsWithCapacity;
        for (const core::RegionId &region : query.allowedRegions) {
            const core::Tokens use = std::max(estimate(region), forecast(region, 0));
            const double remainingCapacity = MAX_MOVE_FILL * static_cast<double>(monthPeak(region)) - static_cast<double>(use) - unreportedMoves(region);
            if (region != m_region && remainingCapacity >= static_cast<double>(query.expectedTokens)) {
                regionsWithCapacity.emplace_back(-remainingCapacity, region);
            }
        }
        std::sort(regionsWithCapacity.begin(), regionsWithCapacity.end());
        for (const auto &entry : regionsWithCapacity) {
            advice.regions.push_back(entry.second);
        }
        if (!advice.regions.empty()) {
            advice.verdict = PeakAdvice::Verdict::Move;
            return advice;
        }

        // Holds a request that can wait; it may raise the peak only after its hold has ended. Without entries of an earlier minute the load is unknown, and no
        // request is held.
        if (canWait && m_table.firstMinute() < currentMinute()) {
            advice.verdict = PeakAdvice::Verdict::Hold;
            advice.until = m_timers.now() + std::min(HOLD_RECHECK_INTERVAL, query.holdLeft);
            return advice;
        }
        advice.raisesPeak = isOwnRegionAllowed && query.expectedTokens > monthPeak(m_region) - estimate(m_region);
        return advice;
    }

    core::Tokens forecast(const core::RegionId &region, int minutesAhead) const
    {
        // Computes the mean use of the last minutes. Minutes before the first entry in the table are left out, since their use is unknown rather than zero.
        const std::int64_t minute = currentMinute();
        const int minuteCount = static_cast<int>(std::clamp<std::int64_t>(minute - m_table.firstMinute(), 0, FORECAST_MINUTES));
        double sum = 0;
        for (int i = 1; i <= minuteCount; ++i) {
            sum += static_cast<double>(m_table.total(region, minute - i));
        }
        const double mean = minuteCount == 0 ? 0 : sum / minuteCount;
        if (minutesAhead > 0) {
            return static_cast<core::Tokens>(mean);
        }

        // For the current minute, returns the estimated use so far plus the mean use scaled to the rest of the minute.
        const double shareLeft = absl::FDivDuration(MINUTE - sinceMinuteStart(), MINUTE);
        return estimate(region) + static_cast<core::Tokens>(mean * shareLeft);
    }

    core::Tokens minuteUse(const core::RegionId &region) const
    {
        return m_table.total(region, currentMinute());
    }

    core::Tokens monthPeak(const core::RegionId &region) const
    {
        return m_table.peak(region, monthOf(currentMinute()));
    }

    void handle(const messages::PeerReceived &event)
    {
        const LedgerReport *report = std::get_if<LedgerReport>(&event.message);
        if (report != nullptr) {
            merge(*report);
        }
    }

    void handle(const messages::PlatformReplied &event)
    {
        const platform::Reply &reply = event.reply;
        if (reply.id == 0 || (reply.id != m_restoreCall && reply.id != m_writeCall)) {
            return;
        }
        const bool isWrite = reply.id == m_writeCall;
        (isWrite ? m_writeCall : m_restoreCall) = 0;
        if (reply.outcome != platform::Outcome::Answered) {
            return;
        }
        for (const platform::KeyValue &value : reply.values) {
            mergeStored(value);
        }
        if (!isWrite) {
            m_isRestored = true;
            return;
        }
        if (reply.succeeded) {
            m_modRevision = reply.storeRevision;
        } else if (m_writeRetries < MAX_WRITE_RETRIES) {
            ++m_writeRetries;
            write();
        }
    }

private:
    std::int64_t currentMinute() const
    {
        return minuteOf(m_timers.wallNow());
    }

    absl::Duration sinceMinuteStart() const
    {
        return m_timers.wallNow() - absl::FromUnixSeconds(currentMinute() * absl::ToInt64Seconds(MINUTE));
    }

    /**
     * Estimates the tokens of a region in the current minute so far. In the region of this instance, the tokens reserved for running requests are
     * added, assuming that each instance of the region has reserved as many tokens as this one.
     */
    core::Tokens estimate(const core::RegionId &region) const
    {
        const core::Tokens reported = m_table.estimate(region, currentMinute(), m_timers.wallNow(), m_tableIdentity);
        return region == m_region ? reported + m_reserved * static_cast<core::Tokens>(m_regionMemberCount + 1) : reported;
    }

    /** Estimates the tokens of requests that all instances have sent to a region and that its reports do not include yet, assuming that half of the instances
     * send as much as this one. */
    double unreportedMoves(const core::RegionId &region) const
    {
        double tokens = 0;
        for (const Move &move : m_moves) {
            tokens += move.region == region && move.sentAt + MOVE_REPORT_DELAY > m_timers.now() ? static_cast<double>(move.tokens) : 0;
        }
        return tokens * static_cast<double>(m_members.size() + 1) / 2;
    }

    void merge(const LedgerReport &report)
    {
        const std::int64_t minute = currentMinute();
        for (const MinuteUse &use : report.uses) {
            if (use.minute >= minute - MINUTES_KEPT && use.minute <= minute + FUTURE_MINUTES_ACCEPTED) {
                m_table.merge(use, m_timers.wallNow());
            }
        }
        for (const RegionPeak &peak : report.peaks) {
            if (peak.month == monthOf(minute)) {
                m_table.merge(peak);
            }
        }
    }

    void mergeStored(const platform::KeyValue &value)
    {
        if (value.key == regionKey()) {
            m_modRevision = value.modRevision;
        }
        const nlohmann::json document = nlohmann::json::parse(value.value, nullptr, false);
        if (document.is_discarded()) {
            return;
        }
        try {
            merge(document.get<LedgerReport>());
        } catch (const nlohmann::json::exception &) {
            m_outbox.push(messages::Log{core::LogEvent{"peak_entry_unreadable", {{"key", value.key}}}});
        }
    }

    void tick()
    {
        if (m_region.isEmpty()) {
            return;
        }
        if (!m_isRestored && m_restoreCall == 0) {
            restore();
        }
        const std::int64_t minute = currentMinute();
        m_table.dropBefore(minute - MINUTES_KEPT, monthOf(minute));
        gossip();

        // One instance of the region writes once a minute. Writes by several instances are harmless, since values are merged by maximum.
        if (minute != m_writtenMinute && sinceMinuteStart() >= WRITE_OFFSET) {
            m_writtenMinute = minute;
            m_writeRetries = 0;
            if (isWriter(minute)) {
                write();
            }
        }
    }

    /** Sends recent changes to a few instances. The strides are powers of two, so changes reach all instances in a logarithmic number of rounds. */
    void gossip()
    {
        if (m_members.empty()) {
            return;
        }
        const LedgerReport report = m_table.changedSince(m_timers.wallNow() - GOSSIP_WINDOW, monthOf(currentMinute()), MAX_ENTRIES_PER_REPORT);
        const auto own = std::find_if(m_members.begin(), m_members.end(), [this](const auto &member) { return m_self.id < member.id; });
        const std::size_t ownPosition = static_cast<std::size_t>(own - m_members.begin());
        const std::size_t fanoutByEntries = ENTRIES_PER_PERIOD / std::max<std::size_t>(1, report.uses.size());
        const std::size_t fanout = std::min(m_members.size(), std::clamp(fanoutByEntries, MIN_GOSSIP_FANOUT, MAX_GOSSIP_FANOUT));
        for (std::size_t i = 0; i < fanout; ++i) {
            const membership::InstanceDescription &peer = m_members[(ownPosition + m_stride - 1 + i) % m_members.size()];
            m_outbox.push(messages::SendToPeer{peer.id, report});
        }
        m_stride = m_stride * 2 > m_members.size() ? 1 : m_stride * 2;
    }

    bool isWriter(std::int64_t minute) const
    {
        const std::uint64_t own = writerRank(m_self.id, minute);
        return std::none_of(m_members.begin(), m_members.end(), [&](const membership::InstanceDescription &member) {
            const auto region = m_regionOf.find(member.dataCentre);
            return region != m_regionOf.end() && region->second == m_region && writerRank(member.id, minute) > own;
        });
    }

    std::string regionKey() const
    {
        return platform::PEAK_PREFIX + m_region.value();
    }

    void restore()
    {
        m_restoreCall = m_outbox.nextCallId();
        m_outbox.push(platform::Call{m_restoreCall, platform::Read{platform::PEAK_PREFIX, true}});
    }

    void write()
    {
        const nlohmann::json document = m_table.regionReport(m_region, currentMinute());
        platform::Transaction transaction;
        transaction.conditions.push_back({regionKey(), m_modRevision});
        transaction.writes.push_back({regionKey(), document.dump(), 0});
        m_writeCall = m_outbox.nextCallId();
        m_outbox.push(platform::Call{m_writeCall, std::move(transaction)});
        core::LogEvent event{"peak_written", {}};
        event.with("region", m_region.value()).with("tokens", std::to_string(monthPeak(m_region)));
        m_outbox.push(messages::Log{std::move(event)});
    }

    membership::InstanceDescription m_self;
    core::InstanceId m_tableIdentity;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    core::RegionId m_region;
    std::map<core::DataCentreId, core::RegionId> m_regionOf;
    std::vector<membership::InstanceDescription> m_members;
    UseTable m_table;
    std::int64_t m_ownMinute = 0;
    core::Tokens m_ownTokens = 0;
    core::Tokens m_reserved = 0;
    std::deque<Move> m_moves;
    /** Number of other instances in the region of this instance. */
    std::size_t m_regionMemberCount = 0;
    std::size_t m_stride = 1;
    bool m_isRestored = false;
    platform::CallId m_restoreCall = 0;
    platform::CallId m_writeCall = 0;
    int m_writeRetries = 0;
    std::int64_t m_writtenMinute = 0;
    std::int64_t m_modRevision = 0;
    core::Subscription m_gossipTimer;
};

PeakLedger::PeakLedger(membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
    : m_impl(std::make_unique<Impl>(std::move(self), timers, outbox))
{
}

PeakLedger::~PeakLedger() = default;

void PeakLedger::configure(const configuration::Configuration &configuration)
{
    m_impl->configure(configuration);
}

void PeakLedger::setMembers(const std::vector<membership::InstanceDescription> &members)
{
    m_impl->setMembers(members);
}

void PeakLedger::record(core::Tokens tokens)
{
    m_impl->record(tokens);
}

void PeakLedger::reserve(core::Tokens tokens)
{
    m_impl->addReserved(tokens);
}

void PeakLedger::release(core::Tokens tokens)
{
    m_impl->addReserved(-tokens);
}

void PeakLedger::noteMoved(const core::RegionId &region, core::Tokens tokens)
{
    m_impl->noteMoved(region, tokens);
}

PeakAdvice PeakLedger::advise(const PeakQuery &query) const
{
    return m_impl->advise(query);
}

core::Tokens PeakLedger::forecast(const core::RegionId &region, int minutesAhead) const
{
    return m_impl->forecast(region, minutesAhead);
}

core::Tokens PeakLedger::minuteUse(const core::RegionId &region) const
{
    return m_impl->minuteUse(region);
}

core::Tokens PeakLedger::monthPeak(const core::RegionId &region) const
{
    return m_impl->monthPeak(region);
}

void PeakLedger::handle(const messages::PeerReceived &event)
{
    m_impl->handle(event);
}

void PeakLedger::handle(const messages::PlatformReplied &event)
{
    m_impl->handle(event);
}

} // namespace snipeferry::peak
