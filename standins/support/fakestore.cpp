#include "support/fakestore.h"

#include <algorithm>

namespace snipeferry::standins {

namespace {

constexpr absl::Duration EXPIRY_INTERVAL = absl::Milliseconds(100);
constexpr const char *CALL_KINDS[] = {"read", "transaction", "lease_grant", "lease_keepalive"};

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

FakeStore::FakeStore(core::TimerService &timers)
    : m_timers(timers)
{
    m_expiry = m_timers.every(EXPIRY_INTERVAL, [this] { expireLeases(); });
}

platform::Reply FakeStore::call(const platform::Call &call)
{
    platform::Reply reply;
    if (m_isDown) {
        reply.id = call.id;
        reply.outcome = platform::Outcome::NotSent;
        return reply;
    }
    expireLeases();
    ++m_counters[CALL_KINDS[call.request.index()]];

    // A delayed transaction may be overtaken by later calls.
    if (m_transactionsToDelay > 0 && std::holds_alternative<platform::Transaction>(call.request)) {
        --m_transactionsToDelay;
        const platform::Transaction transaction = std::get<platform::Transaction>(call.request);
        m_delayed.push_back(m_timers.after(m_transactionDelay, [this, transaction] { perform(transaction); }));
        reply.id = call.id;
        reply.outcome = platform::Outcome::Unknown;
        return reply;
    }

    reply = std::visit([this](const auto &request) { return perform(request); }, call.request);
    if (takesAnswerAway()) {
        reply = platform::Reply();
    } else {
        reply.outcome = platform::Outcome::Answered;
        const bool isStale = m_isStale && std::holds_alternative<platform::Read>(call.request);
        reply.storeRevision = isStale ? m_rememberedRevision : m_revision;
    }
    reply.id = call.id;
    return reply;
}

core::Signal<platform::WatchEvent> &FakeStore::changed()
{
    return m_changed;
}

std::vector<platform::WatchEvent> FakeStore::eventsSince(std::int64_t revision, const std::string &prefix) const
{
    std::vector<platform::WatchEvent> events;
    const auto first = std::find_if(m_log.begin(), m_log.end(), [&](const platform::WatchEvent &event) { return event.modRevision > revision; });
    std::copy_if(first, m_log.end(), std::back_inserter(events), [&](const platform::WatchEvent &event) { return hasPrefix(event.key, prefix); });
    return events;
}

std::int64_t FakeStore::revision() const
{
    return m_revision;
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    write(platform::Write{key, value, 0}, ++m_revision);
}

void FakeStore::remove(const std::string &key)
{
    write(platform::Write{key, std::nullopt, 0}, ++m_revision);
}

std::optional<std::string> FakeStore::value(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? std::nullopt : std::optional<std::string>(it->second.value);
}

std::vector<platform::KeyValue> FakeStore::list(const std::string &prefix) const
{
    std::vector<platform::KeyValue> values;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && hasPrefix(it->first, prefix); ++it) {
        values.push_back({it->first, it->second.value, it->second.modRevision});
    }
    return values;
}

bool FakeStore::revoke(std::int64_t leaseId)
{
    if (m_leases.erase(leaseId) == 0) {
        return false;
    }
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.leaseId == leaseId) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        remove(key);
    }
    return true;
}

void FakeStore::setDown(bool isDown)
{
    m_isDown = isDown;
}

bool FakeStore::isDown() const
{
    return m_isDown;
}

void FakeStore::loseNextAnswers(int count)
{
    m_answersToLose = count;
}

void FakeStore::loseAnswers(double probability, std::uint64_t seed)
{
    m_lossProbability = probability;
    m_random.seed(seed);
}

void FakeStore::delayNextTransactions(int count, absl::Duration delay)
{
    m_transactionsToDelay = count;
    m_transactionDelay = delay;
}

void FakeStore::rememberState()
{
    m_remembered = m_entries;
    m_rememberedRevision = m_revision;
}

void FakeStore::setStaleReads(bool isStale)
{
    m_isStale = isStale;
}

const std::map<std::string, std::int64_t> &FakeStore::counters() const
{
    return m_counters;
}

platform::Reply FakeStore::perform(const platform::Read &read)
{
    platform::Reply reply;
    const Entries &entries = m_isStale ? m_remembered : m_entries;
    for (auto it = entries.lower_bound(read.key); it != entries.end() && hasPrefix(it->first, read.key); ++it) {
        if (read.isPrefix || it->first == read.key) {
            reply.values.push_back({it->first, it->second.value, it->second.modRevision});
        }
    }
    reply.succeeded = true;
    return reply;
}

platform::Reply FakeStore::perform(const platform::Transaction &transaction)
{
    platform::Reply reply;
    const bool leasesExist = std::all_of(transaction.writes.begin(), transaction.writes.end(),
        [this](const platform::Write &write) { return write.leaseId == 0 || m_leases.count(write.leaseId) > 0; });
    reply.succeeded = leasesExist
        && std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const platform::Compare &compare) { return holds(compare); });
    if (reply.succeeded) {
        const std::int64_t revision = transaction.writes.empty() ? m_revision : ++m_revision;
        for (const platform::Write &change : transaction.writes) {
            write(change, revision);
        }
        return reply;
    }
    for (const platform::Compare &compare : transaction.conditions) {
        const auto it = m_entries.find(compare.key);
        if (it != m_entries.end()) {
            reply.values.push_back({it->first, it->second.value, it->second.modRevision});
        }
    }
    return reply;
}

platform::Reply FakeStore::perform(const platform::LeaseGrant &grant)
{
    platform::Reply reply;
    reply.succeeded = true;
    reply.leaseId = ++m_lastLeaseId;
    m_leases[reply.leaseId] = Lease{grant.timeToLive, m_timers.now() + grant.timeToLive};
    return reply;
}

platform::Reply FakeStore::perform(const platform::LeaseKeepAlive &keepAlive)
{
    platform::Reply reply;
    reply.leaseId = keepAlive.leaseId;
    const auto it = m_leases.find(keepAlive.leaseId);
    if (it != m_leases.end()) {
        it->second.deadline = m_timers.now() + it->second.timeToLive;
        reply.succeeded = true;
    }
    return reply;
}

bool FakeStore::holds(const platform::Compare &compare) const
{
    const auto it = m_entries.find(compare.key);
    const std::int64_t modRevision = it == m_entries.end() ? 0 : it->second.modRevision;
    return modRevision == compare.modRevision;
}

void FakeStore::write(const platform::Write &write, std::int64_t revision)
{
    if (write.value.has_value()) {
        m_entries[write.key] = Entry{*write.value, revision, write.leaseId};
    } else if (m_entries.erase(write.key) == 0) {
        return;
    }
    platform::WatchEvent event{write.key, write.value, revision};
    m_log.push_back(event);
    if (m_log.size() > MAX_LOG_EVENTS) {
        m_log.pop_front();
    }
    m_changed.emit(event);
}

void FakeStore::expireLeases()
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.deadline <= m_timers.now()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        revoke(id);
    }
}

bool FakeStore::takesAnswerAway()
{
    if (m_answersToLose > 0) {
        --m_answersToLose;
        return true;
    }
    return m_lossProbability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_lossProbability;
}

} // namespace snipeferry::standins
