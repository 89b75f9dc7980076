#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/net/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/**
 * Websocket connections between instances, whatever runs on them and whether they are secured.
 */
namespace snipeferry::net {

/** Numbers the connections of one endpoint; never used twice. */
using LinkId = std::uint64_t;

/** What happens on the connections. None of it happens from within a call to the endpoint. */
struct LinkEndpointEvents
{
    std::function<void(LinkId link, bool isDialled)> opened;
    std::function<void(LinkId link, bool isBinary, const std::string &bytes)> received;
    /** The other end answered a probe. */
    std::function<void(LinkId link)> heard;
    /** It could not be opened, or has ended. Not called after terminate(). */
    std::function<void(LinkId link)> closed;
};

struct LinkEndpointSettings
{
    /** Time to connect and for the handshakes. */
    absl::Duration openTimeout = absl::Seconds(1);
    std::size_t maxFrameBytes = std::size_t{24} << 20;
    /** Time without acknowledgement after which a connection counts as lost. */
    absl::Duration lossTimeout = absl::Seconds(3);
};

/** Accepts and opens connections on the event loop. */
class LinkEndpoint
{
public:
    virtual ~LinkEndpoint() = default;

    /** @brief Listens on "a.b.c.d:port". @return the address listened on */
    virtual core::Expected<std::string> listen(const std::string &address) = 0;

    /** @brief Begins to open a connection. @return its number, or nothing when the address is none */
    virtual std::optional<LinkId> dial(const std::string &address) = 0;

    /** @brief Sends one binary frame. @return false when the connection is gone */
    virtual bool send(LinkId link, const std::string &bytes) = 0;

    /** @brief Bytes that wait for the other end. */
    virtual std::size_t queuedBytes(LinkId link) const = 0;

    /** @brief Common name in the other end's certificate; empty without one. */
    virtual std::string certificateName(LinkId link) const = 0;

    virtual void ping(LinkId link) = 0;

    /** @brief Sends what is queued, then closes. */
    virtual void close(LinkId link) = 0;

    /** @brief Drops a connection with all that is queued, without a farewell: the other end may be out of reach. */
    virtual void terminate(LinkId link) = 0;

    virtual void stopListening() = 0;
};

/** @brief Makes an endpoint without TLS. */
std::unique_ptr<LinkEndpoint> makePlainEndpoint(EventLoop &loop, const LinkEndpointSettings &settings, LinkEndpointEvents events);

} // namespace snipeferry::net
