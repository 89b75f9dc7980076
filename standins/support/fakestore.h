#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/platform/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * Stand-ins of outside systems, for tests and the demo.
 */
namespace snipeferry::standins {

/**
 * The platform's key-value service as plain data under a timer service: transactions, prefix reads, leases, a change log
 * to watch, and switches for faults.
 *
 * Not thread-safe.
 */
class FakeStore
{
public:
    explicit FakeStore(core::TimerService &timers);

    /**
     * @brief Carries out a call as the platform client would report it.
     * @return the reply; NotSent while the store is down, Unknown when the answer is lost
     */
    platform::Reply call(const platform::Call &call);

    /** @brief Emitted at each change, also while the store is down. */
    core::Signal<platform::WatchEvent> &changed();

    /** @brief Changes after a store revision to keys with a prefix, oldest first; an empty prefix means all. */
    std::vector<platform::WatchEvent> eventsSince(std::int64_t revision, const std::string &prefix = {}) const;

    /** @brief Store revision of the last change. */
    std::int64_t revision() const;

    /** @brief Writes a key past all faults, as the platform itself does for its directory. */
    void put(const std::string &key, const std::string &value);

    /** @brief Deletes a key past all faults. */
    void remove(const std::string &key);

    /** @brief Reads a key past all faults. */
    std::optional<std::string> value(const std::string &key) const;

    /** @brief Keys with a prefix, past all faults. */
    std::vector<platform::KeyValue> list(const std::string &prefix) const;

    /** @brief Ends a lease and deletes its keys; false for an unknown one. */
    bool revoke(std::int64_t leaseId);

    /** @brief While down, calls are answered NotSent and have no effect. Leases go on lapsing. */
    void setDown(bool isDown);
    bool isDown() const;

    /** @brief The next calls take effect but their answers are lost. */
    void loseNextAnswers(int count);

    /** @brief Each call's answer is lost with this probability, after it took effect. */
    void loseAnswers(double probability, std::uint64_t seed);

    /** @brief The next transactions are answered Unknown and take effect only after a delay. */
    void delayNextTransactions(int count, absl::Duration delay);

    /** @brief Keeps the present state for setStaleReads(). */
    void rememberState();

    /** @brief While set, reads answer the state of the last rememberState(). */
    void setStaleReads(bool isStale);

    /** @brief Calls so far by kind: read, transaction, lease_grant, lease_keepalive. */
    const std::map<std::string, std::int64_t> &counters() const;

private:
    static constexpr std::size_t MAX_LOG_EVENTS = 20'000;

    struct Entry
    {
        std::string value;
        std::int64_t modRevision = 0;
        std::int64_t leaseId = 0;
    };

    struct Lease
    {
        absl::Duration timeToLive;
        absl::Time deadline;
    };

    using Entries = std::map<std::string, Entry>;

    platform::Reply perform(const platform::Read &read);
    platform::Reply perform(const platform::Transaction &transaction);
    platform::Reply perform(const platform::LeaseGrant &grant);
    platform::Reply perform(const platform::LeaseKeepAlive &keepAlive);
    bool holds(const platform::Compare &compare) const;
    void write(const platform::Write &write, std::int64_t revision);
    void expireLeases();
    bool takesAnswerAway();

    core::TimerService &m_timers;
    core::Signal<platform::WatchEvent> m_changed;
    Entries m_entries;
    Entries m_remembered;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<platform::WatchEvent> m_log;
    std::map<std::string, std::int64_t> m_counters;
    std::vector<core::Subscription> m_delayed;
    core::Subscription m_expiry;
    std::mt19937_64 m_random;
    std::int64_t m_revision = 0;
    std::int64_t m_rememberedRevision = 0;
    std::int64_t m_lastLeaseId = 0;
    double m_lossProbability = 0;
    int m_answersToLose = 0;
    int m_transactionsToDelay = 0;
    absl::Duration m_transactionDelay;
    bool m_isDown = false;
    bool m_isStale = false;
};

} // namespace snipeferry::standins
