#pragma once

#include "snipeferry/configuration/manifest.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace snipeferry::configuration {

/** How the platform's last reply compares with the configuration in force. */
enum class PlatformState {
    /** The platform holds no configuration yet. */
    Empty,
    /** The platform holds the revision in force. */
    Same,
    /** The platform answered with an older revision, that is, with stale data. */
    Older,
    /** The platform could not be reached. */
    Unreachable,
};

/**
 * Reads the accepted configuration from the platform: the manifest, then the chunks that differ from those in force.
 *
 * It passes on only complete configurations whose chunks match their digests, and otherwise reads everything again.
 */
class PlatformFetcher
{
public:
    struct Listener
    {
        /** Called with a complete configuration that is newer than the one in force. */
        std::function<void(Configuration)> fetched;
        std::function<void(PlatformState)> answered;
    };

    PlatformFetcher(core::TimerService &timers, messages::Outbox &outbox, Listener listener);

    /** @brief Sets the newest configuration that this instance holds. Chunks that it shares with a newer one are not read. */
    void setCurrent(std::shared_ptr<const Configuration> current);

    /** @brief Reads the manifest unless a read is in progress. */
    void poll();

    /** @brief Whether the platform answered the last call. */
    bool isReachable() const;

    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

private:
    void handleManifest(const std::string &text);
    void handleChunk(const platform::Reply &reply);
    void requestChunks();
    void assembleConfiguration();
    void scheduleRetry();
    void reset();
    platform::CallId read(std::string key, bool isPrefix);
    core::Revision currentRevision() const;

    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    Listener m_listener;
    std::shared_ptr<const Configuration> m_current;
    std::optional<platform::CallId> m_manifestCall;
    std::set<platform::CallId> m_chunkCalls;
    /** The manifest whose chunks are being read. */
    std::optional<Manifest> m_manifest;
    std::map<std::string, std::string> m_chunks;
    core::Subscription m_retryTimer;
    absl::Duration m_backoff;
    bool m_isReachable = true;
};

} // namespace snipeferry::configuration
