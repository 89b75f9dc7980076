#include "../../source/net/socketoptions.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

int tcpOption(int fd, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    REQUIRE(::getsockopt(fd, IPPROTO_TCP, name, &value, &size) == 0);
    return value;
}

} // namespace

// A user timeout also decides when keep-alive probes give up, so it has to leave time for a server that is silent for a second.
TEST_CASE("a link is given up when its other end was silent for the loss timeout, and no sooner")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    net::setLinkOptions(socket, absl::Seconds(2));
    const int fd = socket.native_handle();
    CHECK(tcpOption(fd, TCP_USER_TIMEOUT) == 2000);
    const int keepAliveSeconds = tcpOption(fd, TCP_KEEPIDLE) + tcpOption(fd, TCP_KEEPINTVL) * tcpOption(fd, TCP_KEEPCNT);
    CHECK(keepAliveSeconds >= 2);
    // The first probe goes out before the user timeout, so that a dead link without traffic is found by it.
    CHECK(tcpOption(fd, TCP_KEEPIDLE) * 1000 < tcpOption(fd, TCP_USER_TIMEOUT));
}
