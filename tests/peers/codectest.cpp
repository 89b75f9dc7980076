#include "snipeferry/peers/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

using namespace snipeferry;

namespace {

/** Generates an arbitrary byte string. The functions below generate arbitrary values of the other field types. */
rc::Gen<std::string> anyBytes()
{
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template<typename Id>
Id anyId()
{
    return Id(*anyBytes());
}

membership::InstanceDescription anyInstance()
{
    return {anyId<core::InstanceId>(), *rc::gen::arbitrary<core::Incarnation>(), anyId<core::DataCentreId>(), *anyBytes(), *anyBytes(),
        *rc::gen::arbitrary<bool>()};
}

membership::ServiceLoad anyLoad()
{
    return {anyId<core::ServiceId>(), anyId<core::VersionId>(), *rc::gen::arbitrary<int>(), *rc::gen::arbitrary<int>(), *rc::gen::arbitrary<int>()};
}

node::CallerRequest anyRequest()
{
    node::CallerRequest request;
    request.id = anyId<core::RequestId>();
    request.path = *anyBytes();
    request.headers = {{*anyBytes(), *anyBytes()}};
    request.body = *anyBytes();
    request.isStream = *rc::gen::arbitrary<bool>();
    request.tokenBound = *rc::gen::arbitrary<core::Tokens>();
    request.prefixHashes = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    return request;
}

absl::Duration anyDuration()
{
    return absl::Nanoseconds(*rc::gen::arbitrary<std::int64_t>());
}

configuration::Configuration anyConfiguration()
{
    configuration::Configuration configuration;
    configuration.revision = *rc::gen::arbitrary<core::Revision>();
    configuration.customers.resize(2);
    configuration.customers.front().keyDigests = {*anyBytes(), *anyBytes()};
    configuration.rollouts.resize(1);
    configuration.rollouts.front().deadline = absl::FromUnixNanos(*rc::gen::arbitrary<std::int64_t>());
    return configuration;
}

/** Generates a message with the given message number and arbitrary content. */
messages::PeerMessage anyMessage(std::size_t number)
{
    const core::RequestId request = anyId<core::RequestId>();
    const core::CustomerId customer = anyId<core::CustomerId>();
    const std::uint64_t count = *rc::gen::arbitrary<std::uint64_t>();
    const core::Tokens amount = *rc::gen::arbitrary<core::Tokens>();
    const std::vector<messages::PeerMessage> messages{membership::Hello{*rc::gen::arbitrary<int>(), anyInstance()},
        membership::Heartbeat{anyInstance(), count, amount, {anyLoad()}, {anyInstance(), anyInstance()}, true},
        node::ForwardRequest{anyRequest(), anyId<core::InstanceId>(), customer, anyId<core::VersionId>(), amount, anyDuration()},
        node::ForwardHead{request, *rc::gen::arbitrary<int>(), {{*anyBytes(), *anyBytes()}}}, node::ForwardChunk{request, count, *anyBytes()},
        node::ForwardEnd{request, count, amount},
        node::ForwardFailed{request, *anyBytes(), *anyBytes(), *anyBytes(), *rc::gen::element<std::optional<absl::Duration>>(std::nullopt, anyDuration())},
        node::ForwardCancel{request}, node::ConfigurationNotice{amount}, node::ConfigurationRequest{amount}, node::ConfigurationTransfer{anyConfiguration()},
        limits::TokenRequest{count, count, customer, amount, true}, limits::TokenGrant{count, count, customer, amount, anyDuration(), amount, amount},
        limits::TokenReturn{count, count, customer, amount, true}, limits::SlotRenewal{count}, limits::SlotPromise{count},
        rollout::EvidenceReport{anyId<core::RolloutId>(), count, {{*anyBytes(), anyId<core::VersionId>(), amount, amount, 1.5, 2.25}}},
        rollout::StageNotice{anyId<core::RolloutId>(), rollout::Stage::TakenBack, 50, amount, *anyBytes(), true},
        peak::LedgerReport{{{anyId<core::InstanceId>(), anyId<core::RegionId>(), amount, amount}}, {{anyId<core::RegionId>(), amount, amount}}},
        membership::Pulse{count, amount, {anyLoad()}}};
    REQUIRE(messages.size() == std::variant_size_v<messages::PeerMessage>);
    REQUIRE(messages[number].index() == number);
    return messages[number];
}

bool isEqual(const messages::PeerMessage &left, const messages::PeerMessage &right)
{
    return left == right;
}

} // namespace

TEST_CASE("every peer message is equal to the original after encoding and decoding")
{
    for (std::size_t number = 0; number < std::variant_size_v<messages::PeerMessage>; ++number) {
        CHECK(rc::check([number] {
            const messages::PeerMessage message = anyMessage(number);
            const core::Expected<messages::PeerMessage> decoded = peers::decode(peers::encode(message));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(isEqual(*decoded, message));
        }));
    }
}

TEST_CASE("decoding random bytes returns a message or an error and never crashes")
{
    CHECK(rc::check([] {
        const core::Expected<messages::PeerMessage> decoded = peers::decode(*anyBytes());
        if (decoded) {
            RC_ASSERT(peers::decode(peers::encode(*decoded)).has_value());
        }
    }));
}

TEST_CASE("decoding a corrupted frame returns a message or an error and never crashes")
{
    CHECK(rc::check([] {
        std::string frame = peers::encode(anyMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<messages::PeerMessage>)));
        const std::size_t changes = *rc::gen::inRange<std::size_t>(1, 4);
        for (std::size_t i = 0; i < changes; ++i) {
            frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
        }
        frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
        const core::Expected<messages::PeerMessage> decoded = peers::decode(frame);
        if (!decoded) {
            RC_ASSERT(decoded.error().kind == core::ErrorKind::BadRequest);
        }
    }));
}

TEST_CASE("nesting beyond the bound is refused without using up the stack")
{
    CHECK_FALSE(peers::decode(std::string(std::size_t{20} << 20, '\x81')).has_value());
    CHECK_FALSE(peers::decode(std::string(std::size_t{20} << 20, '\x9f')).has_value());
    CHECK_FALSE(peers::decode(std::string(std::size_t{20} << 20, '\xbf')).has_value());
}

TEST_CASE("huge declared lengths take no memory")
{
    CHECK_FALSE(peers::decode(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
    CHECK_FALSE(peers::decode(std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
    CHECK_FALSE(peers::decode(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
    CHECK_FALSE(peers::decode(std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
}

TEST_CASE("more values than the bound are refused")
{
    std::string frame("\x83\x01\x00\x9a\x00\x20\x00\x00", 8);
    frame += std::string(std::size_t{0x200000}, '\xf6');
    CHECK_FALSE(peers::decode(frame).has_value());
}

TEST_CASE("another protocol version and an unknown message number are named")
{
    CHECK(peers::decode(std::string("\x83\x02\x00\xa0", 4)).error().message == "Malformed peer message: protocol version 2.");
    CHECK(peers::decode(std::string("\x83\x01\x18\x63\xa0", 5)).error().message == "Malformed peer message: message number 99.");
    CHECK_FALSE(peers::decode(std::string("\x83\x01\x00\xa0", 4)).has_value());
}
