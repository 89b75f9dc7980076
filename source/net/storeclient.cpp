#include "snipeferry/net/storeclient.h"

#include "announcer.h"
#include "backoff.h"
#include "snipeferry/gateway/storeposition.h"
#include "snipeferry/net/httpcaller.h"
#include "storeera.h"
#include "storewriter.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <random>

namespace snipeferry::net {

namespace {

constexpr absl::Duration READ_TIMEOUT = absl::Milliseconds(2500);
/** An instance that lets another one follow a topic looks this often whether it is still so. */
constexpr absl::Duration TURN_CHECK_PERIOD = absl::Milliseconds(200);
/** Way to the store and back, to another region at most. */
constexpr absl::Duration ON_TIME = absl::Milliseconds(200);
/**
 * Backend servers and instances change often in a large fleet; changes that follow each other come in one answer. Three seconds
 * are left for a backend server that drains, and what requests show counts before that.
 */
constexpr absl::Duration GATHERING_TIME = absl::Milliseconds(500);
/** Wait of a call that returns the changes since, or confirms that there are none, without waiting for them. */
constexpr absl::Duration SHORT_WAIT = absl::Milliseconds(1);
/** Time over which the reads after a store's return are spread, for each instance of the fleet. */
constexpr absl::Duration RETURN_READ_SPREAD = absl::Milliseconds(4);
constexpr int HTTP_OK = 200;
constexpr int HTTP_GONE = 410;

} // namespace

/** Follows one topic: reads all of it once, then waits for changes. */
class StoreClient::Follower : public std::enable_shared_from_this<StoreClient::Follower>
{
public:
    Follower(EventLoop &loop, const StoreClientSettings &settings, gateway::Topic topic, absl::Duration wait, const StoreFormat &format, StoreEra &era,
        gateway::Gateway &gateway, gateway::Journal &journal)
        : m_loop(loop),
          m_answerTimeout(settings.answerTimeout),
          m_topic(topic),
          m_wait(wait),
          m_format(format),
          m_era(era),
          m_gateway(gateway),
          m_journal(journal),
          m_caller(std::make_shared<HttpCaller>(loop, settings.address)),
          m_backoff(std::random_device()()),
          m_goneBackoff(std::random_device()()),
          m_random(std::random_device()())
    {
        m_caller->setMaxAnswerBytes(settings.maxAnswerBytes);
        m_caller->setReadMemory(settings.readMemory);
    }

    void start()
    {
        // What vouches for keys and routes is read as it is.
        m_mayBeOld = m_topic != gateway::Topic::Operator;
        readAll();
    }

private:
    void readAll()
    {
        m_records.clear();
        m_readPosition.reset();
        m_startedAt = m_loop.timers().now();
        readPage({});
    }

    void readPage(const std::string &afterKey)
    {
        m_journal.count("store_calls_total", "read", 1);
        m_caller->call(m_format.readPage(m_topic, afterKey, m_mayBeOld), READ_TIMEOUT,
            [self = shared_from_this()](const core::Expected<CallAnswer> &answer) { self->pageRead(answer); });
    }

    void pageRead(const core::Expected<CallAnswer> &answer)
    {
        if (!answer || !m_era.note(*answer) || answer->status != HTTP_OK) {
            failed(answer, [self = shared_from_this()] { self->readAll(); });
            return;
        }
        const core::Expected<RecordPage> page = m_format.decodePage(answer->body);
        if (!page || page->revision < 0 || page->revision > gateway::MAX_POSITION_COUNTER) {
            unreadable(page ? revisionError() : page.error(), [self = shared_from_this()] { self->readAll(); });
            return;
        }
        const core::Revision position = gateway::positionOf(m_era.current(), page->revision);
        if (m_readPosition.has_value() && gateway::eraOf(*m_readPosition) != m_era.current()) {
            // The store came back between two pages.
            m_pause = m_loop.timers().after(m_backoff.next(), [self = shared_from_this()] { self->readAll(); });
            return;
        }
        m_backoff.reset();
        for (const gateway::Record &record : page->records) {
            m_records.push_back({record.key, record.value, gateway::positionOf(m_era.current(), record.revision)});
        }
        // Pages are no snapshot; the changes since the oldest one are watched.
        m_readPosition = std::min(m_readPosition.value_or(position), position);
        if (page->hasMore && !page->records.empty()) {
            readPage(page->records.back().key);
            return;
        }
        // A reading that may be old costs the store a tenth. Other instances or the first watch confirm it or bring what has changed since.
        m_gateway.topicRead(m_topic, m_records, *m_readPosition, m_mayBeOld ? absl::InfinitePast() : m_startedAt);
        m_mayBeOld = false;
        m_records.clear();
        m_records.shrink_to_fit();
        watch();
    }

    /** Reads a topic after the store came back, unless another instance tells it first. All instances learn of the return at about the same time. */
    void readReturned()
    {
        const absl::Duration spread = RETURN_READ_SPREAD * m_gateway.instanceCount();
        const absl::Duration pause = spread * std::uniform_real_distribution<double>(0, 1)(m_random);
        m_pause = m_loop.timers().after(pause, [self = shared_from_this()] {
            const bool isTold = gateway::eraOf(self->m_gateway.revision(self->m_topic)) >= self->m_era.current();
            isTold ? self->watch() : self->readAll();
        });
    }

    static core::Error revisionError()
    {
        return core::makeError(core::ErrorKind::PlatformUnavailable, "a revision is out of range");
    }

    void watch()
    {
        if (!m_gateway.shouldWatch(m_topic)) {
            m_pause = m_loop.timers().after(TURN_CHECK_PERIOD, [self = shared_from_this()] { self->watch(); });
            return;
        }
        const core::Revision position = m_gateway.revision(m_topic);
        if (gateway::eraOf(position) < m_era.current()) {
            readReturned();
            return;
        }
        m_journal.count("store_calls_total", "watch", 1);
        m_watched = position;
        m_startedAt = m_loop.timers().now();
        // After a failed call the next answer has to show soon whether the store works.
        const bool isHasty = m_gateway.isUnconfirmed(m_topic) || std::exchange(m_hasFailed, false);
        m_currentWait = isHasty ? SHORT_WAIT : m_wait;
        m_caller->call(m_format.awaitChanges(m_topic, gateway::counterOf(position), m_currentWait), m_currentWait + m_answerTimeout,
            [self = shared_from_this()](const core::Expected<CallAnswer> &answer) { self->watched(answer); });
    }

    void watched(const core::Expected<CallAnswer> &answer)
    {
        if (answer && !m_era.note(*answer)) {
            failed(answer, [self = shared_from_this()] { self->watch(); });
            return;
        }
        if (answer && m_era.current() != gateway::eraOf(m_watched)) {
            // Changes of another era do not follow those that are known. Another instance may have told of an era that this answer does not name.
            const bool isReturned = m_era.current() > gateway::eraOf(m_watched);
            m_pause = m_loop.timers().after(isReturned ? absl::ZeroDuration() : m_goneBackoff.next(), [self = shared_from_this()] { self->watch(); });
            return;
        }
        if (answer && answer->status == HTTP_GONE) {
            m_gateway.storeAnswered();
            m_journal.log(core::LogEvent{"store_history_gone", {}}.with("topic", absl::StrCat(static_cast<int>(m_topic))));
            m_pause = m_loop.timers().after(m_goneBackoff.next(), [self = shared_from_this()] { self->readAll(); });
            return;
        }
        if (!answer && answer.error().kind == core::ErrorKind::RequestTooLarge) {
            // Read in pages what is too much in one answer.
            failed(answer, [self = shared_from_this()] { self->readAll(); });
            return;
        }
        if (!answer || answer->status != HTTP_OK) {
            failed(answer, [self = shared_from_this()] { self->watch(); });
            return;
        }
        const core::Expected<ChangePage> page = m_format.decodeChanges(answer->body);
        if (!page || page->revision < 0 || page->revision > gateway::MAX_POSITION_COUNTER) {
            unreadable(page ? revisionError() : page.error(), [self = shared_from_this()] { self->readAll(); });
            return;
        }
        m_backoff.reset();
        m_goneBackoff.reset();
        std::vector<gateway::RecordChange> changes = page->changes;
        for (gateway::RecordChange &change : changes) {
            change.revision = gateway::positionOf(m_era.current(), change.revision);
        }
        m_gateway.topicChanged(m_topic, changes, gateway::positionOf(m_era.current(), page->revision), confirmedAt(*page));
        const bool isPatient = m_topic != gateway::Topic::Operator && !page->changes.empty();
        if (isPatient) {
            m_pause = m_loop.timers().after(GATHERING_TIME, [self = shared_from_this()] { self->watch(); });
        } else {
            watch();
        }
    }

    /**
     * When the store surely held what it answered: at the call, since it answered after that arrived. An answer without
     * changes comes at the end of the wait; one that came just then, and no later, was not held up on its way.
     */
    absl::Time confirmedAt(const ChangePage &page) const
    {
        const absl::Duration elapsed = m_loop.timers().now() - m_startedAt;
        const bool isOnTime = elapsed >= m_currentWait && elapsed < m_currentWait + ON_TIME;
        return page.changes.empty() && isOnTime ? m_startedAt + m_currentWait : m_startedAt;
    }

    void failed(const core::Expected<CallAnswer> &answer, std::function<void()> again)
    {
        const std::string reason = answer ? absl::StrCat("status_", answer->status) : answer.error().message;
        m_journal.count("store_failures_total", reason, 1);
        m_journal.log(core::LogEvent{"store_call_failed", {}}.with("topic", absl::StrCat(static_cast<int>(m_topic))).with("reason", reason));
        m_gateway.storeFailed();
        m_hasFailed = true;
        m_pause = m_loop.timers().after(m_backoff.next(), std::move(again));
    }

    void unreadable(const core::Error &error, std::function<void()> again)
    {
        m_journal.log(core::LogEvent{"store_answer_unreadable", {}}.with("error", error.message));
        m_caller->close();
        m_pause = m_loop.timers().after(m_backoff.next(), std::move(again));
    }

    EventLoop &m_loop;
    absl::Duration m_answerTimeout;
    gateway::Topic m_topic;
    absl::Duration m_wait;
    /** Wait of the call in progress. */
    absl::Duration m_currentWait;
    const StoreFormat &m_format;
    StoreEra &m_era;
    gateway::Gateway &m_gateway;
    gateway::Journal &m_journal;
    std::shared_ptr<HttpCaller> m_caller;
    Backoff m_backoff;
    /** Pauses between full reads that follow each other because the history is gone. */
    Backoff m_goneBackoff;
    std::mt19937_64 m_random;
    std::vector<gateway::Record> m_records;
    /** Position of the oldest page that was read. */
    std::optional<core::Revision> m_readPosition;
    /** Position after which the call in progress asks for changes. */
    core::Revision m_watched = 0;
    bool m_mayBeOld = false;
    /** Whether the last call failed. */
    bool m_hasFailed = false;
    absl::Time m_startedAt;
    core::Subscription m_pause;
};

StoreClient::StoreClient(EventLoop &loop, const StoreClientSettings &settings, const StoreFormat &format, const gateway::RecordCodec &records,
    gateway::Gateway &gateway, gateway::Journal &journal)
    : m_era(std::make_unique<StoreEra>(format, journal))
{
    const std::array<absl::Duration, gateway::TOPIC_COUNT> waits = {settings.operatorWait, settings.backendServerWait, settings.memberWait};
    for (int index = 0; index < gateway::TOPIC_COUNT; ++index) {
        m_followers[index] = std::make_shared<Follower>(loop, settings, static_cast<gateway::Topic>(index), waits[index], format, *m_era, gateway, journal);
    }
    m_announcer = std::make_shared<Announcer>(loop, settings, format, *m_era, gateway, journal);
    // Two writers, so that neither kind of record waits for the other.
    m_rolloutWriter = std::make_shared<StoreWriter>(loop, settings, format, records, *m_era, gateway, journal);
    m_quarantineWriter = std::make_shared<StoreWriter>(loop, settings, format, records, *m_era, gateway, journal);
    m_era->advanced().subscribe([announcer = m_announcer](std::int64_t /*era*/) { announcer->storeReturned(); });
    gateway.rolloutDecided().subscribe([writer = m_rolloutWriter](const gateway::RolloutDecision &decision) { writer->write(decision); });
    gateway.recordToStore().subscribe([writer = m_quarantineWriter](const gateway::RecordToStore &task) { writer->write(task.record); });
}

StoreClient::~StoreClient() = default;

void StoreClient::start(gateway::Record announcement)
{
    for (const std::shared_ptr<Follower> &follower : m_followers) {
        follower->start();
    }
    m_announcer->start(std::move(announcement));
}

StoreEra &StoreClient::era()
{
    return *m_era;
}

void StoreClient::withdraw()
{
    m_announcer->withdraw();
}

} // namespace snipeferry::net
