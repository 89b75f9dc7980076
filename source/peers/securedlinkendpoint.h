#pragma once

#include "snipeferry/net/linkendpoint.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace snipeferry::peers {

/** Gives the TLS context for the next connection. */
using ContextSource = std::function<std::shared_ptr<boost::asio::ssl::context>()>;

/** @brief Makes an endpoint whose connections use TLS on both sides. */
std::unique_ptr<net::LinkEndpoint> makeSecuredEndpoint(
    net::EventLoop &loop, const net::LinkEndpointSettings &settings, net::LinkEndpointEvents events, ContextSource contexts);

} // namespace snipeferry::peers
