#pragma once

#include <absl/time/time.h>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace snipeferry::net {

/** @brief Sends small messages at once, and fails a connection whose other end is silent for the given time. */
template<typename Socket>
void setLinkOptions(Socket &socket, absl::Duration lossTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int fd = socket.native_handle();
    const int milliseconds = static_cast<int>(absl::ToInt64Milliseconds(lossTimeout));
    const int probeSeconds = 1;
    const int probes = static_cast<int>(std::max<std::int64_t>(1, absl::ToInt64Seconds(lossTimeout)));
    // Where an option is refused the own timeouts still end the connection, only later.
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof probeSeconds);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof probeSeconds);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace snipeferry::net
