#include "snipeferry/peers/codec.h"
#include "support/testkeys.h"
#include "testinstance.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include <fstream>

using namespace snipeferry;
using test::awaitSlotPromises;
using test::TestInstance;

TEST_CASE("messages go both ways over one link and keep their order")
{
    TestInstance left("left");
    TestInstance right("right");
    REQUIRE(left.start());
    REQUIRE(right.start());
    left.keepLinks({right.self()});
    REQUIRE(left.awaitLink(right.self().id, true));
    REQUIRE(right.awaitLink(left.self().id, true));

    constexpr std::uint64_t MESSAGE_COUNT = 1000;
    std::vector<std::uint64_t> expected;
    for (std::uint64_t i = 0; i < MESSAGE_COUNT; ++i) {
        expected.push_back(i);
        left.send(right.self().id, limits::SlotPromise{i});
        right.send(left.self().id, limits::SlotPromise{i});
    }
    CHECK(awaitSlotPromises(left, MESSAGE_COUNT));
    CHECK(awaitSlotPromises(right, MESSAGE_COUNT));
    CHECK(left.slotPromises() == expected);
    CHECK(right.slotPromises() == expected);
}

TEST_CASE("a link comes back after the other instance was replaced")
{
    TestInstance left("left");
    REQUIRE(left.start());
    membership::InstanceDescription description;
    {
        TestInstance right("right");
        REQUIRE(right.start());
        description = right.self();
        left.keepLinks({description});
        REQUIRE(left.awaitLink(description.id, true));
    }
    REQUIRE(left.awaitLink(description.id, false));
    TestInstance replaced("right");
    replaced.self().incarnation = 2;
    REQUIRE(replaced.start());
    left.keepLinks({replaced.self()});
    CHECK(left.awaitLink(description.id, true));
}

TEST_CASE("instances with keys of one authority talk under mutual TLS")
{
    const test::TestKeys keys;
    TestInstance left("left", keys.issue("left"));
    TestInstance right("right", keys.issue("right"));
    const core::Expected<std::string> address = left.start();
    INFO((address ? "" : address.error().message));
    REQUIRE(address);
    REQUIRE(right.start());
    left.keepLinks({right.self()});
    REQUIRE(left.awaitLink(right.self().id, true));
    REQUIRE(right.awaitLink(left.self().id, true));
    right.send(left.self().id, limits::SlotPromise{7});
    CHECK(awaitSlotPromises(left, 1));
}

TEST_CASE("an instance of another authority, without TLS, or under another's name gets no link")
{
    const test::TestKeys keys;
    const test::TestKeys otherKeys;
    TestInstance right("right", keys.issue("right"));
    TestInstance foreign("foreign", otherKeys.issue("foreign"));
    TestInstance plain("plain");
    TestInstance impostor("left", keys.issue("someone"));
    TestInstance left("left", keys.issue("left"));
    REQUIRE(right.start());
    for (TestInstance *instance : {&foreign, &plain, &impostor}) {
        REQUIRE(instance->start());
        instance->keepLinks({right.self()});
    }
    // Gives the refused instances time for several attempts before the accepted one connects.
    absl::SleepFor(absl::Milliseconds(500));
    CHECK(right.links().empty());
    REQUIRE(left.start());
    left.keepLinks({right.self()});
    REQUIRE(left.awaitLink(right.self().id, true));
    REQUIRE(right.awaitLink(left.self().id, true));
    CHECK(right.links() == std::set<std::string>{"left"});
    CHECK(foreign.links().empty());
    CHECK(plain.links().empty());
}

TEST_CASE("a missing, expired, foreign or mismatched key file is named")
{
    const test::TestKeys keys;
    const test::TestKeys otherKeys;
    const auto errorOf = [](const peers::PeerSettings &settings) {
        TestInstance instance("left", settings);
        const core::Expected<std::string> address = instance.start();
        REQUIRE_FALSE(address);
        return address.error().message;
    };
    peers::PeerSettings settings = keys.issue("left");
    settings.privateKeyFile = "/nowhere/left.key";
    CHECK(errorOf(settings) == "Key file /nowhere/left.key is missing or cannot be read.");
    settings = keys.issue("left", -60);
    CHECK(errorOf(settings) == "Key file " + settings.certificateFile + " has expired.");
    settings = keys.issue("left");
    settings.authorityFile = otherKeys.issue("left").authorityFile;
    CHECK(errorOf(settings) == "Key file " + settings.certificateFile + " is not signed by the authority " + settings.authorityFile + ".");
    settings = keys.issue("left");
    settings.privateKeyFile = keys.issue("right").privateKeyFile;
    CHECK(errorOf(settings) == "Key file " + settings.privateKeyFile + " does not belong to the certificate " + settings.certificateFile + ".");
    settings = keys.issue("left");
    settings.privateKeyFile.clear();
    CHECK_FALSE(errorOf(settings).empty());
}

TEST_CASE("keys are replaced while links stay up, and a bad replacement is refused")
{
    const test::TestKeys keys;
    const peers::PeerSettings settings = keys.issue("left");
    TestInstance left("left", settings);
    TestInstance right("right", keys.issue("right"));
    REQUIRE(left.start());
    REQUIRE(right.start());
    left.keepLinks({right.self()});
    REQUIRE(left.awaitLink(right.self().id, true));

    keys.issue("left", -60);
    CHECK_FALSE(left.reloadKeys());
    keys.issue("left");
    CHECK(left.reloadKeys());
    left.send(right.self().id, limits::SlotPromise{1});
    CHECK(awaitSlotPromises(right, 1));
    CHECK(right.links() == std::set<std::string>{"left"});
    // A link opened after the reload uses the new keys.
    left.keepLinks({});
    REQUIRE(left.awaitLink(right.self().id, false));
    left.keepLinks({right.self()});
    CHECK(left.awaitLink(right.self().id, true));
}

TEST_CASE("garbage on the port, and frames that are no messages, close only their own connection")
{
    TestInstance left("left");
    TestInstance right("right");
    REQUIRE(left.start());
    REQUIRE(right.start());
    left.keepLinks({right.self()});
    REQUIRE(left.awaitLink(right.self().id, true));

    namespace asio = boost::asio;
    const std::string &address = right.self().peerAddress;
    const std::string port = address.substr(address.rfind(':') + 1);
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                                "Sec-WebSocket-Version: 13\r\n\r\n";
    // Masked binary frames: one byte that is no valid message, and a declared length of 2^62 bytes.
    const std::string garbageFrame("\x82\x81\0\0\0\0\xff", 7);
    const std::string hugeFrame("\x82\xff\x40\0\0\0\0\0\0\0\0\0\0\0", 14);
    for (const std::string &bytes : {std::string(100'000, '\xfe'), std::string("\r\n\r\n"), upgrade + garbageFrame, upgrade + hugeFrame}) {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(std::stoi(port))});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        // Reads until the instance closes the connection.
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        CHECK(error);
    }
    left.send(right.self().id, limits::SlotPromise{3});
    CHECK(awaitSlotPromises(right, 1));
    CHECK(right.links() == std::set<std::string>{"left"});
}
