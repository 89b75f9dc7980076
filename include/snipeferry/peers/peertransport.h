#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/eventsink.h"
#include "snipeferry/net/eventloop.h"

#include <memory>
#include <string>
#include <vector>

/**
 * Links between instances: WebSocket connections (websocketpp) that carry CBOR messages under mutual TLS.
 */
namespace snipeferry::peers {

struct PeerSettings
{
    /** Listen address as "a.b.c.d:port". With port 0 the kernel chooses the port. */
    std::string listenAddress;
    /** Paths of PEM files: set all three or none. Without them links are not encrypted, which is only for the demo and tests. */
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::size_t maxFrameBytes = std::size_t{24} << 20;
    /** Most bytes queued on one link. A message that would exceed it closes the link, and the link is then reopened. */
    std::size_t maxQueueBytes = std::size_t{64} << 20;
};

/** Maintains links to other instances and sends typed messages over them. Posts PeerReceived and PeerLinkChanged events to the sink. */
class PeerTransport
{
public:
    PeerTransport(net::EventLoop &loop, PeerSettings settings, messages::EventSink sink);
    ~PeerTransport();

    /**
     * @brief Opens the listening socket.
     * @return the address listened on, or an error that names the key file that is missing, expired or signed by another authority
     */
    core::Expected<std::string> start(const membership::InstanceDescription &self);

    /** @brief Closes every link once its queued messages are sent. The event loop must keep running until then. */
    void stop();

    /** @brief Replaces the list of peers to maintain links to. Closes the links opened to peers that are no longer listed. */
    void keepLinks(const std::vector<membership::InstanceDescription> &peers);

    /** @brief Sends a message to an instance. The message is dropped if no link to it is up. */
    void send(const core::InstanceId &to, const messages::PeerMessage &message);

    /** @brief Reads the key files again. Links opened afterwards use the new keys; open links are not affected. */
    core::Expected<void> reloadKeys();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::peers
