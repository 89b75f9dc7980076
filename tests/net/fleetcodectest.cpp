#include "snipeferry/net/fleetcodec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::gateway;

namespace {

Pulse largePulse()
{
    Pulse pulse;
    pulse.isReady = true;
    pulse.sentAt = 1'700'000'000'000'000'000;
    for (int number = 0; number < 16; ++number) {
        pulse.allowances.push_back({core::CustomerId(absl::StrCat("customer-", number)), 1000.5 * number, 3.25 * number});
        pulse.work.push_back({core::BackendServerId(absl::StrCat("i-", number)), number, {0, 500, 0}});
    }
    return pulse;
}

} // namespace

TEST_CASE("news between instances are compressed on the wire and come back as they were")
{
    const FleetMessage message = largePulse();
    const std::string bytes = net::encodeFleetMessage(message);
    const std::string again = net::encodeFleetMessage(message);
    CHECK(bytes == again);
    // Names of fields and customers make up most of a pulse.
    CHECK(bytes.size() * 3 < nlohmann::json::to_cbor(nlohmann::json(largePulse())).size());
    const core::Expected<FleetMessage> decoded = net::decodeFleetMessage(bytes);
    REQUIRE(decoded);
    CHECK(std::get<Pulse>(*decoded) == largePulse());

    // Small ones, and what callers sent, go as they are.
    const core::Expected<FleetMessage> small = net::decodeFleetMessage(net::encodeFleetMessage(Pulse()));
    REQUIRE(small);
    CHECK(std::get<Pulse>(*small) == Pulse());
}

TEST_CASE("bytes that only begin like a compressed message are refused")
{
    const std::string bytes = net::encodeFleetMessage(largePulse());
    CHECK_FALSE(net::decodeFleetMessage(bytes.substr(0, bytes.size() / 2)));
    CHECK_FALSE(net::decodeFleetMessage(bytes.substr(0, 1)));
    CHECK_FALSE(net::decodeFleetMessage(bytes.substr(0, 1) + std::string(300, '\xff')));
    CHECK_FALSE(net::decodeFleetMessage(""));
    // The next message is read again.
    CHECK(net::decodeFleetMessage(bytes));
}

// Failure (MIXED): instances of two builds on one link take the processes of an instance for one.
TEST_CASE("greetings of earlier builds are understood, and theirs understand this one's")
{
    Member member;
    member.id = core::InstanceId("gw-1");
    member.incarnation = 7;
    member.bootId = 0xfedcba9876543210;
    const core::Expected<FleetMessage> decoded = net::decodeFleetMessage(net::encodeFleetMessage(Greeting{member}));
    REQUIRE(decoded);
    CHECK(std::get<Greeting>(*decoded).sender == member);
    // An earlier build reads the fields that it knows.
    const nlohmann::json fields = Greeting{member};
    CHECK(fields["sender"]["incarnation"] == 7);

    nlohmann::json earlier = fields;
    earlier["sender"].erase("bootId");
    const Greeting greeting = earlier.get<Greeting>();
    CHECK(greeting.sender.process() == ProcessId{7, 0});
    CHECK(nlohmann::json(greeting) == earlier);
}
