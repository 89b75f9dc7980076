#include "dutyclient.h"

#include "snipeferry/gateway/storeposition.h"

#include <absl/strings/str_cat.h>

#include <random>
#include <utility>

namespace snipeferry::net {

namespace {

/** A renewal that is answered later leaves less than half a second of the holder's two to act, and the next one is due. */
constexpr absl::Duration STORE_TIMEOUT = absl::Milliseconds(1500);
/** Time after the end of a window in which its sums are of use: reports are composed until 8 s after it, from a read that may be a second old. */
constexpr absl::Duration USAGE_WRITE_TIME = absl::Seconds(9);
/** Answers of the interface have no content that matters. */
constexpr std::size_t MAX_INTERFACE_ANSWER_BYTES = 65536;
constexpr int HTTP_OK = 200;
constexpr int HTTP_CONFLICT = 412;

} // namespace

DutyClient::DutyClient(EventLoop &loop, const StoreClientSettings &store, duties::DutySettings settings, const StoreFormat &storeFormat,
    const DutyFormat &format, StoreEra &era, gateway::Gateway &gateway, gateway::Journal &journal)
    : m_loop(loop),
      m_storeSettings(store),
      m_settings(std::move(settings)),
      m_storeFormat(storeFormat),
      m_format(format),
      m_era(era),
      m_gateway(gateway),
      m_journal(journal),
      m_holderReader(makeCaller(store.address, store.maxWriteAnswerBytes)),
      m_usageReader(makeCaller(store.address, store.maxAnswerBytes)),
      m_swapCaller(makeCaller(store.address, store.maxWriteAnswerBytes)),
      m_usageWriter(makeCaller(store.address, store.maxWriteAnswerBytes)),
      m_interface(makeCaller(m_settings.address, MAX_INTERFACE_ANSWER_BYTES)),
      m_usageBackoff(std::random_device()())
{
}

std::shared_ptr<HttpCaller> DutyClient::makeCaller(const std::string &address, std::size_t maxAnswerBytes) const
{
    std::shared_ptr<HttpCaller> caller = std::make_shared<HttpCaller>(m_loop, address);
    caller->setMaxAnswerBytes(maxAnswerBytes);
    caller->setReadMemory(m_storeSettings.readMemory);
    return caller;
}

void DutyClient::start(const gateway::Member &self)
{
    m_instance = self.id.value();
    std::random_device random;
    const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32U) ^ random();
    m_holder = std::make_unique<duties::DutyHolder>(
        m_settings, duties::DutyIdentity{self.id.value(), self.bootId}, seed, m_loop.timers(), *m_gateway.usageClock(), *this, *this, m_journal);
    m_era.advanced().subscribe([weak = weak_from_this()](std::int64_t era) {
        if (const std::shared_ptr<DutyClient> self = weak.lock()) {
            self->m_holder->noteEra(era);
            self->m_gateway.usageStoreReturned();
        }
    });
    m_gateway.regionUsageClosed().subscribe([weak = weak_from_this()](const gateway::RegionUsageClosed &closed) {
        if (const std::shared_ptr<DutyClient> self = weak.lock()) {
            self->m_usageTasks.push_back({self->m_format.encodeUsage(closed.region, closed.usage), self->m_loop.timers().now() + USAGE_WRITE_TIME});
            self->writeUsage();
        }
    });
}

void DutyClient::callStore(HttpCaller &caller, const gateway::HttpRequest &request, const std::string &name, std::function<void(const CallAnswer *)> done)
{
    m_journal.count("store_calls_total", name, 1);
    const absl::Time startedAt = m_loop.timers().now();
    caller.call(request, STORE_TIMEOUT, [self = shared_from_this(), name, startedAt, done = std::move(done)](const core::Expected<CallAnswer> &answer) {
        // An answer that names no era although the store has one may be of any.
        const bool namesEra = answer && self->m_storeFormat.decodeEra(answer->headers).value_or(std::nullopt).has_value();
        const bool isCurrent = answer && self->m_era.note(*answer) && (namesEra || self->m_era.current() == 0);
        if (answer) {
            self->m_journal.observe("store_call_seconds", name, self->m_loop.timers().now() - startedAt);
        }
        if (!isCurrent || (answer->status != HTTP_OK && answer->status != HTTP_CONFLICT)) {
            self->m_journal.log(core::LogEvent{"store_call_failed", {}}
                                    .with("call", name)
                                    .with("reason",
                                        !answer          ? answer.error().message
                                            : !isCurrent ? "earlier_era"
                                                         : absl::StrCat("status_", answer->status)));
        }
        done(isCurrent ? &*answer : nullptr);
    });
}

void DutyClient::logUnreadable(const std::string &what, const core::Error &error)
{
    m_journal.log(core::LogEvent{"duty_record_unreadable", {}}.with("record", what).with("error", error.message));
}

std::optional<duties::HolderReading> DutyClient::decodeReading(const gateway::Record *record)
{
    duties::HolderReading reading;
    reading.era = m_era.current();
    if (record == nullptr) {
        return reading;
    }
    core::Expected<duties::HolderRecord> holder = m_format.decodeHolder(record->value);
    if (!holder) {
        // Whoever wrote it, no report that it may tell of is known. It is left to the operator, rather than to write over it.
        logUnreadable(record->key, holder.error());
        return std::nullopt;
    }
    reading.counter = record->revision;
    reading.record = std::move(*holder);
    return reading;
}

std::optional<duties::HolderReading> DutyClient::decodeHolderPage(const CallAnswer *answer)
{
    if (answer == nullptr || answer->status != HTTP_OK) {
        return std::nullopt;
    }
    const core::Expected<RecordPage> page = m_storeFormat.decodePage(answer->body);
    if (!page) {
        logUnreadable(m_format.holderKey(), page.error());
        return std::nullopt;
    }
    for (const gateway::Record &record : page->records) {
        if (record.key == m_format.holderKey()) {
            return decodeReading(&record);
        }
    }
    return decodeReading(nullptr);
}

void DutyClient::readHolder()
{
    callStore(*m_holderReader, m_storeFormat.readPrefix(m_format.holderKey(), true), "duty_read",
        [this](const CallAnswer *answer) { m_holder->holderRead(decodeHolderPage(answer)); });
}

std::optional<std::vector<duties::RegionUsage>> DutyClient::decodeUsagePage(const CallAnswer *answer)
{
    if (answer == nullptr || answer->status != HTTP_OK) {
        return std::nullopt;
    }
    const core::Expected<RecordPage> page = m_storeFormat.decodePage(answer->body);
    if (!page) {
        logUnreadable(m_format.usagePrefix(), page.error());
        return std::nullopt;
    }
    std::vector<duties::RegionUsage> records;
    for (const gateway::Record &record : page->records) {
        core::Expected<duties::RegionUsage> usage = m_format.decodeUsage(record);
        if (usage) {
            records.push_back(std::move(*usage));
        } else {
            logUnreadable(record.key, usage.error());
        }
    }
    return records;
}

void DutyClient::readUsage()
{
    callStore(*m_usageReader, m_storeFormat.readPrefix(m_format.usagePrefix(), true), "usage_read",
        [this](const CallAnswer *answer) { m_holder->usageRead(decodeUsagePage(answer)); });
}

duties::SwapAnswer DutyClient::decodeSwap(const CallAnswer *answer)
{
    duties::SwapAnswer result;
    if (answer == nullptr) {
        return result;
    }
    if (answer->status == HTTP_OK) {
        const core::Expected<core::Revision> written = m_storeFormat.decodeWritten(answer->body);
        if (written && *written > 0 && *written <= gateway::MAX_POSITION_COUNTER) {
            result.outcome = duties::SwapAnswer::Outcome::Written;
            result.stored.era = m_era.current();
            result.stored.counter = *written;
        }
        return result;
    }
    if (answer->status == HTTP_CONFLICT) {
        const core::Expected<gateway::Record> record = m_storeFormat.decodeConflict(answer->body);
        std::optional<duties::HolderReading> reading = record ? decodeReading(&*record) : std::nullopt;
        if (reading.has_value()) {
            result.outcome = duties::SwapAnswer::Outcome::Conflict;
            result.stored = std::move(*reading);
        }
    }
    return result;
}

void DutyClient::swapHolder(std::int64_t expectedCounter, const duties::HolderRecord &record, const std::vector<std::string> &removedKeys)
{
    gateway::Record written;
    written.key = m_format.holderKey();
    written.value = m_format.encodeHolder(record);
    callStore(*m_swapCaller, m_storeFormat.swapRecord(written, expectedCounter, removedKeys), "duty_swap",
        [this](const CallAnswer *answer) { m_holder->swapped(decodeSwap(answer)); });
}

void DutyClient::report(std::int64_t token, const duties::WindowUsage &usage, absl::Duration timeLimit)
{
    m_interface->call(m_format.usageCall(m_instance, token, usage), timeLimit, [self = shared_from_this()](const core::Expected<CallAnswer> &answer) {
        if (answer && answer->status != HTTP_OK) {
            self->m_journal.log(core::LogEvent{"usage_call_refused", {}}.with("status", absl::StrCat(answer->status)));
        }
        self->m_holder->reported(!answer    ? duties::CallOutcome::Unanswered
                : answer->status == HTTP_OK ? duties::CallOutcome::Accepted
                                            : duties::CallOutcome::Refused);
    });
}

void DutyClient::writeUsage()
{
    while (!m_usageTasks.empty() && m_usageTasks.front().until <= m_loop.timers().now()) {
        m_journal.log(core::LogEvent{"usage_write_late", {}}.with("key", m_usageTasks.front().record.key));
        m_usageTasks.pop_front();
    }
    if (m_isWritingUsage || m_usageTasks.empty()) {
        return;
    }
    m_isWritingUsage = true;
    // Only if the window has no sums yet: the first aggregator that wrote them had heard of all instances.
    callStore(*m_usageWriter, m_storeFormat.writeRecords({}, m_usageTasks.front().record), "usage_write", [this](const CallAnswer *answer) {
        const bool isDone = answer != nullptr && (answer->status == HTTP_OK || answer->status == HTTP_CONFLICT);
        if (isDone) {
            m_usageTasks.pop_front();
            m_usageBackoff.reset();
        }
        m_usagePause = m_loop.timers().after(isDone ? absl::ZeroDuration() : m_usageBackoff.next(), [this] {
            m_isWritingUsage = false;
            writeUsage();
        });
    });
}

std::size_t DutyClient::watchRank() const
{
    return m_gateway.dutyWatchRank();
}

std::vector<core::RegionId> DutyClient::liveRegions() const
{
    return m_gateway.liveRegions();
}

bool DutyClient::isDraining() const
{
    return m_gateway.isDraining();
}

} // namespace snipeferry::net
