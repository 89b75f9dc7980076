#pragma once

#include "snipeferry/messages/peermessage.h"
#include "snipeferry/platform/directory.h"
#include "snipeferry/platform/messages.h"

#include <variant>

/**
 * Events that the calling code passes to the decision logic.
 */
namespace snipeferry::messages {

/** A caller has sent a request. */
struct RequestArrived
{
    node::CallerRequest request;
};

/** A caller has closed its connection, or it reads the answer too slowly. */
struct CallerLeft
{
    core::RequestId request;
};

/** A backend server has sent status and headers of its answer. */
struct BackendHead
{
    core::RequestId request;
    int attempt = 1;
    int status = 0;
    std::vector<node::Header> headers;
};

/** A backend server has sent a chunk of its answer. */
struct BackendChunk
{
    core::RequestId request;
    int attempt = 1;
    std::string data;
};

/** A backend server has sent its complete answer. */
struct BackendEnd
{
    core::RequestId request;
    int attempt = 1;
};

/** An attempt to run a request on a backend server has failed. */
struct BackendFailure
{
    core::RequestId request;
    int attempt = 1;
    /** False only if certainly no byte of the request was sent to the backend server. */
    bool mayHaveRun = true;
    std::string reason;
};

/** Another instance has sent a message. */
struct PeerReceived
{
    core::InstanceId from;
    PeerMessage message;
};

/** The link to another instance was opened or lost. */
struct PeerLinkChanged
{
    core::InstanceId peer;
    bool isUp = false;
};

/** A call to the platform was answered or has failed. */
struct PlatformReplied
{
    platform::Reply reply;
};

/** The value of a watched key in the platform's store has changed. */
struct PlatformWatched
{
    platform::WatchEvent event;
};

/** The directory of backend servers and instances was read again. */
struct DirectoryChanged
{
    platform::DirectorySnapshot snapshot;
};

/** A backend server has reported its load, which may have changed in the meantime. */
struct LoadReported
{
    core::BackendServerId backendServer;
    int running = 0;
    int waiting = 0;
};

/** A model engine has reported prompt blocks that it stored in its prefix cache or evicted from it; reports can be late or lost. */
struct CacheReported
{
    core::BackendServerId backendServer;
    /** Number of the report, incremented by one each time. */
    std::uint64_t sequence = 0;
    /** Hashes of prompt prefixes. */
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/** The operator or the process supervisor has requested a drain: after a grace period, the instance only finishes its requests. */
struct DrainRequested
{
};

using Event = std::variant<RequestArrived, CallerLeft, BackendHead, BackendChunk, BackendEnd, BackendFailure, PeerReceived, PeerLinkChanged, PlatformReplied,
    PlatformWatched, DirectoryChanged, LoadReported, CacheReported, DrainRequested>;

} // namespace snipeferry::messages
