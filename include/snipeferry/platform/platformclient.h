#pragma once

#include "snipeferry/messages/eventsink.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/platform/keys.h"
#include "snipeferry/platform/messages.h"

#include <memory>
#include <string>
#include <vector>

/**
 * Adapter to the platform's key-value service, directory and instance list.
 */
namespace snipeferry::platform {

struct PlatformSettings
{
    /** Base addresses, as "a.b.c.d:port". */
    std::vector<std::string> endpoints;
    absl::Duration connectTimeout = absl::Seconds(1);
    absl::Duration watchTimeout = absl::Seconds(30);
    /** Calls that may wait to be sent; more are answered NotSent at once. */
    std::size_t maxPendingCalls = 256;
    /** Calls that are under way at once, each on a connection of its own. */
    int workers = 4;
    /** Each is watched by one waiting call; changes are posted as PlatformWatched. */
    std::vector<std::string> watchedPrefixes = {CONFIGURATION_KEY, LIMITS_PREFIX, ROLLOUT_PREFIX};
    /** Watches DIRECTORY_ROOT and posts DirectoryChanged. */
    bool watchesDirectory = true;
};

/** Calls sent so far, by kind: read, transaction, lease_grant, lease_keepalive, watch. */
struct CallCount
{
    std::string kind;
    std::uint64_t sent = 0;
    /** Of these, calls that ended NotSent or Unknown. */
    std::uint64_t failed = 0;
};

/**
 * Carries out platform calls on the event loop and posts PlatformReplied, PlatformWatched and DirectoryChanged.
 *
 * Reconnects by itself with backoff; after a gap in a watch it reads the watched keys again. What a lagging answer says
 * of a key that is known at a later store revision is dropped. No event is posted after stop(), nor from within a call.
 */
class PlatformClient
{
public:
    PlatformClient(net::EventLoop &loop, PlatformSettings settings, messages::EventSink sink);
    ~PlatformClient();

    /** @brief Begins to watch; calls are taken before as well. */
    void start();
    void stop();

    /** @brief Sends a call; the reply is always posted, within the call's timeout. */
    void call(Call call);

    /** @brief Counts for the metrics page. */
    std::vector<CallCount> callCounts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::platform
