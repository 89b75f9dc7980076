#pragma once

#include "snipeferry/net/linkendpoint.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace snipeferry::peers {

/** Returns the TLS context for the next connection. */
using TlsContextProvider = std::function<std::shared_ptr<boost::asio::ssl::context>()>;

/** @brief Creates an endpoint that uses TLS for the connections that it accepts and opens. */
std::unique_ptr<net::LinkEndpoint> makeTlsEndpoint(
    net::EventLoop &loop, const net::LinkEndpointSettings &settings, net::LinkEndpointEvents events, TlsContextProvider contextProvider);

} // namespace snipeferry::peers
