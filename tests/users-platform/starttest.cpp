#include "usersfixture.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>

#include <csignal>
#include <optional>

using namespace snipeferry;
using namespace snipeferry::testing;

namespace {

namespace asio = boost::asio;

constexpr absl::Duration START_LIMIT = absl::Seconds(10);
/** The process says what is wrong soon after the five seconds for which it tries. */
constexpr absl::Duration GIVE_UP_LIMIT = absl::Seconds(8);
constexpr int EXIT_START_FAILED = 3;

/** Another program that listens on an address. */
class AddressHolder
{
public:
    explicit AddressHolder(const std::string &address)
        : m_acceptor(m_context)
    {
        const std::size_t colon = address.find(':');
        const asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        m_acceptor.open(endpoint.protocol());
        // The gateway must not inherit it.
        ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

} // namespace

// Failure (FAULT): the second of two instances on one address ended at its start, since the port of the metrics page is the same for all.
TEST_CASE("a gateway whose metrics address is taken serves its callers, and has the page when the address is free")
{
    UsersFixture fixture;
    std::optional<AddressHolder> holder(fixture.addresses().metrics);
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    CHECK(absl::StrContains(fixture.gateway().output(), "event=listen_failed address=" + fixture.addresses().metrics));
    holder.reset();
    CHECK(fixture.eventually([&] { return fixture.get(fixture.addresses().metrics, "/metrics").status == 200; }, absl::Seconds(8)));
}

// Failure (FAULT): an address that another program, or the process before, had for a moment ended a gateway at its start.
TEST_CASE("a gateway waits at its start for an address that is taken for a moment, and says which if it stays taken")
{
    UsersFixture fixture;
    const GatewayAddresses &addresses = fixture.addresses();
    const std::string taken = GENERATE_REF(as<std::string>(), addresses.callers, addresses.directory, addresses.readiness, addresses.peers);
    std::optional<AddressHolder> holder(taken);
    fixture.startGateway();
    const bool isFreed = GENERATE(true, false);
    if (isFreed) {
        absl::SleepFor(absl::Seconds(1));
        CHECK(fixture.gateway().isRunning());
        holder.reset();
        CHECK(fixture.servesWithin(START_LIMIT));
        return;
    }
    CHECK(fixture.gateway().wait(GIVE_UP_LIMIT) == EXIT_START_FAILED);
    CHECK(absl::StrContains(fixture.gateway().output(), taken));
}

// Failure (FAULT): a gateway that waits for an address does not stop when it is told to.
TEST_CASE("a gateway that waits at its start for an address stops at once when it is told to")
{
    UsersFixture fixture;
    const AddressHolder holder(fixture.addresses().callers);
    fixture.startGateway();
    CHECK(fixture.eventually([&] { return absl::StrContains(fixture.gateway().output(), "event=listen_failed"); }, START_LIMIT));
    fixture.gateway().signal(SIGTERM);
    CHECK(fixture.gateway().wait(absl::Seconds(2)) == 0);
}
