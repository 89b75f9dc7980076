#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/eventsink.h"
#include "snipeferry/net/eventloop.h"

#include <memory>
#include <string>
#include <vector>

/**
 * Links between instances: websocketpp with CBOR under mutual TLS.
 */
namespace snipeferry::peers {

struct PeerSettings
{
    /** "a.b.c.d:port"; port 0 lets the kernel choose. */
    std::string listenAddress;
    /** PEM files. All three or none; without them links are plain, which only the demo and tests may use. */
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::size_t maxFrameBytes = std::size_t{24} << 20;
    /** Bytes queued to one peer; beyond it the link is closed and opened again. */
    std::size_t maxQueueBytes = std::size_t{64} << 20;
};

/** Keeps links, sends and receives typed messages; posts PeerReceived and PeerLinkChanged. */
class PeerTransport
{
public:
    PeerTransport(net::EventLoop &loop, PeerSettings settings, messages::EventSink sink);
    ~PeerTransport();

    /**
     * @brief Opens the listening socket.
     * @return the address listened on; or an error that names a missing, expired or foreign key
     */
    core::Expected<std::string> start(const membership::InstanceDescription &self);

    /** @brief Closes all links after what is queued has left; for that the event loop must go on. */
    void stop();

    /** @brief Replaces the list of links that are kept. */
    void keepLinks(const std::vector<membership::InstanceDescription> &peers);

    /** @brief Sends a message, or drops it when no link is up. */
    void send(const core::InstanceId &to, const messages::PeerMessage &message);

    /** @brief Reads the key files again; links opened from now on use them. */
    core::Expected<void> reloadKeys();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::peers
