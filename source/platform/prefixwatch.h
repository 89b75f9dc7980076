#pragma once

#include "callqueue.h"
#include "snipeferry/net/backendpool.h"

#include <functional>
#include <map>
#include <string>

namespace snipeferry::platform {

/**
 * Keys of one prefix as seen through reads and watch events; never takes an older state of a key for a newer one.
 */
class WatchedKeys
{
public:
    /**
     * @brief Takes over a whole read of the prefix.
     * @return what changed; nothing when the read is older than what is known
     */
    std::vector<WatchEvent> takeRead(const Reply &read);

    /** @brief Takes over one event; false when it is not newer than what is known. */
    bool takeEvent(const WatchEvent &event);

    /** @brief Store revision up to which everything is known. */
    std::int64_t revision() const;

    /** @brief Advances the revision without a change. */
    void advance(std::int64_t revision);

private:
    std::map<std::string, std::int64_t> m_modRevisions;
    std::int64_t m_revision = 0;
};

/** Keeps a watch on a prefix: reads it, watches from there on, and reads again after a gap. */
class PrefixWatch : private gateway::RunEvents
{
public:
    using Listener = std::function<void(const std::vector<WatchEvent> &)>;

    PrefixWatch(net::EventLoop &loop, const PlatformSettings &settings, std::string prefix, CallCounters &counters, Listener listener);
    ~PrefixWatch() override;

    void start();
    void stop();

private:
    void runHead(gateway::Number run, const gateway::HttpHead &head) override;
    void runData(gateway::Number run, const std::string &data) override;
    void runEnd(gateway::Number run, gateway::AnswerEnd end) override;
    void runFailed(gateway::Number run, bool mayHaveRun, const std::string &reason) override;

    void readAgain();
    void readDone(const PostResult &result);
    void watch();
    void awaitData();
    /** The endpoint failed: after a pause the next one is asked, from a read on. */
    void failed();
    bool takeLine(const std::string &line);
    void report(const std::vector<WatchEvent> &events);

    net::EventLoop &m_loop;
    const PlatformSettings m_settings;
    const std::string m_prefix;
    CallCounters &m_counters;
    const Listener m_listener;
    WatchedKeys m_keys;
    std::shared_ptr<GatewayConnections> m_reads;
    net::BackendPool m_streams;
    std::size_t m_endpoint = 0;
    /** The watch under way; 0 for none. */
    gateway::Number m_run = 0;
    gateway::Number m_lastRun = 0;
    std::string m_pending;
    absl::Duration m_backoff;
    core::Subscription m_timer;
    bool m_isStopped = false;
};

} // namespace snipeferry::platform
