#include "snipeferry/net/linkqueue.h"

#include "snipeferry/net/fleetcodec.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using gateway::FleetMessage;
using gateway::Topic;

// Load: manifests in quick succession on a link that carries a few of them a second, between requests and pulses.
namespace {

std::shared_ptr<net::OutgoingMessage> outgoing(FleetMessage message)
{
    return std::make_shared<net::OutgoingMessage>(std::move(message));
}

/** Text that compression cannot shorten much. */
std::string noise(std::size_t size, unsigned seed)
{
    std::string text;
    unsigned state = seed + 1;
    while (text.size() < size) {
        state = state * 1664525U + 1013904223U;
        text.push_back(static_cast<char>('0' + (state >> 16U) % 75U));
    }
    return text;
}

gateway::RecordsUpdate manifestChange(core::Revision revision, std::size_t bytes)
{
    return {Topic::Operator, revision - 1, revision, {{"manifest", noise(bytes, static_cast<unsigned>(revision)), revision}}};
}

/** Takes frames out of a queue and joins pieces, as the other end of the link does. */
std::vector<FleetMessage> drain(net::LinkQueue &queue)
{
    std::vector<FleetMessage> all;
    net::PieceJoiner joiner;
    while (std::optional<std::string> bytes = queue.pop()) {
        core::Expected<FleetMessage> message = net::decodeFleetMessage(*bytes);
        REQUIRE(message);
        if (const gateway::MessagePiece *piece = std::get_if<gateway::MessagePiece>(&*message)) {
            const core::Expected<std::optional<std::string>> whole = joiner.add(*piece);
            REQUIRE(whole);
            if (!whole->has_value()) {
                continue;
            }
            message = net::decodeFleetMessage(**whole);
            REQUIRE(message);
        }
        all.push_back(*message);
    }
    return all;
}

} // namespace

TEST_CASE("of manifests that follow each other on a slow link only the newest is sent, and it applies to a copy before the first")
{
    net::LinkQueue queue(true);
    for (core::Revision revision = 11; revision <= 35; ++revision) {
        CHECK(queue.push(outgoing(manifestChange(revision, 50000))));
    }
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 1);
    const gateway::RecordsUpdate &change = std::get<gateway::RecordsUpdate>(sent.front());
    CHECK(change.after == 10);
    CHECK(change.revision == 35);
    REQUIRE(change.changes.size() == 1);
    CHECK(change.changes.front().revision == 35);
}

TEST_CASE("changes of different records that wait together are all sent, and of one record the newest")
{
    net::LinkQueue queue(true);
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::BackendServers, 1, 2, {{"s1", std::string("old"), 2}}})));
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::BackendServers, 2, 3, {{"s2", std::string("ready"), 3}}})));
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::BackendServers, 3, 4, {{"s1", std::nullopt, 4}}})));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 1);
    const gateway::RecordsUpdate &change = std::get<gateway::RecordsUpdate>(sent.front());
    CHECK(change.after == 1);
    CHECK(change.changes.size() == 2);
    for (const gateway::RecordChange &record : change.changes) {
        CHECK(record.value.has_value() == (record.key == "s2"));
    }
}

// Guards against a change that a receiver never learns of, because its copy counts as complete beyond it (DRAIN, CONFIG).
TEST_CASE("merged changes of records claim no change that the sender knows from elsewhere")
{
    net::LinkQueue queue(true);
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::BackendServers, 1, 2, {{"s1", std::string("old"), 2}}, {{"s1", absl::Seconds(2)}}})));
    // Another instance has told the sender of the change 5.
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::BackendServers, 5, 7, {{"s2", std::nullopt, 7}}, {{"s2", absl::Seconds(1)}}})));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 1);
    const gateway::RecordsUpdate &merged = std::get<gateway::RecordsUpdate>(sent.front());
    CHECK(merged.after == 5);
    CHECK(merged.revision == 7);
    CHECK(merged.changes.size() == 2);
    // Each update names all that its sender keeps at that time.
    CHECK(merged.lapsed == std::vector<gateway::LapsedRecord>{{"s2", absl::Seconds(1)}});
}

TEST_CASE("a long transfer leaves in pieces, and requests and pulses go between them")
{
    net::LinkQueue queue(true);
    CHECK(queue.push(outgoing(gateway::RecordsTransfer{Topic::Operator, 5, {{"manifest", noise(400000, 1), 5}}})));
    const std::optional<std::string> first = queue.pop();
    REQUIRE(first.has_value());
    CHECK(first->size() < 20000);
    CHECK(queue.push(outgoing(gateway::ForwardEnd{7, 1})));
    gateway::Pulse pulse;
    pulse.sentAt = 3;
    CHECK(queue.push(outgoing(pulse)));
    CHECK(std::holds_alternative<gateway::ForwardEnd>(*net::decodeFleetMessage(*queue.pop())));
    CHECK(std::holds_alternative<gateway::Pulse>(*net::decodeFleetMessage(*queue.pop())));
    // The rest still makes the whole transfer.
    net::PieceJoiner joiner;
    std::optional<std::string> whole = *joiner.add(std::get<gateway::MessagePiece>(*net::decodeFleetMessage(*first)));
    while (!whole.has_value()) {
        whole = *joiner.add(std::get<gateway::MessagePiece>(*net::decodeFleetMessage(queue.pop().value())));
    }
    CHECK(std::get<gateway::RecordsTransfer>(*net::decodeFleetMessage(*whole)).records.front().value.size() == 400000);
    CHECK(queue.isEmpty());
}

TEST_CASE("changes of the operator's records go ahead of other records and of summaries")
{
    net::LinkQueue queue(true);
    CHECK(queue.push(outgoing(gateway::RecordsTransfer{Topic::BackendServers, 5, {{"s1", "x", 5}}})));
    CHECK(queue.push(outgoing(gateway::RegionSummary())));
    CHECK(queue.push(outgoing(gateway::RecordsUpdate{Topic::Members, 1, 2, {{"m1", std::string("x"), 2}}})));
    CHECK(queue.push(outgoing(manifestChange(9, 100))));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 4);
    REQUIRE(std::holds_alternative<gateway::RecordsUpdate>(sent.front()));
    CHECK(std::get<gateway::RecordsUpdate>(sent.front()).topic == Topic::Operator);
}

TEST_CASE("a newer report replaces one that waits and keeps its news of prompt parts")
{
    net::LinkQueue queue(true);
    gateway::Pulse pulse;
    pulse.sentAt = 1;
    pulse.readParts = {{core::BackendServerId("s1"), "a"}};
    CHECK(queue.push(outgoing(pulse)));
    pulse.sentAt = 2;
    pulse.readParts = {{core::BackendServerId("s2"), "b"}};
    CHECK(queue.push(outgoing(pulse)));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 1);
    CHECK(std::get<gateway::Pulse>(sent.front()).sentAt == 2);
    CHECK(std::get<gateway::Pulse>(sent.front()).readParts.size() == 2);
}

TEST_CASE("an instance of an earlier build gets long messages whole")
{
    net::LinkQueue queue(false);
    CHECK(queue.push(outgoing(gateway::RecordsTransfer{Topic::Operator, 5, {{"manifest", noise(400000, 1), 5}}})));
    const std::optional<std::string> bytes = queue.pop();
    REQUIRE(bytes.has_value());
    CHECK(std::holds_alternative<gateway::RecordsTransfer>(*net::decodeFleetMessage(*bytes)));
    CHECK(queue.isEmpty());
}

TEST_CASE("messages that cannot be replaced are dropped when too many bytes wait, and the sender is told")
{
    net::LinkQueue queue(true);
    const std::string data(1U << 20U, 'x');
    int accepted = 0;
    for (std::uint64_t piece = 0; piece < 20; ++piece) {
        accepted += queue.push(outgoing(gateway::ForwardData{1, piece, data})) ? 1 : 0;
    }
    CHECK(accepted >= 4);
    CHECK(accepted < 9);
    CHECK(queue.bytesByKind()["urgent"] < (9U << 20U));
}

TEST_CASE("pieces without end are refused")
{
    net::PieceJoiner joiner;
    gateway::MessagePiece piece;
    piece.bytes = std::string(1U << 20U, 'x');
    bool isRefused = false;
    for (int count = 0; count < 100 && !isRefused; ++count) {
        isRefused = !joiner.add(piece).has_value();
    }
    CHECK(isRefused);
}

// Failure: the notice that a caller has left waits behind all bodies and answers that are queued for a slow link.
TEST_CASE("the cancellation of a forwarded request overtakes what waits for the link")
{
    net::LinkQueue queue(true);
    REQUIRE(queue.push(outgoing(gateway::ForwardRequest{7, {}, core::ServiceId("s"), "r", {}, {}, {}, {}, {}, true, false, 5, absl::Seconds(5)})));
    REQUIRE(queue.pop().has_value());
    for (std::uint64_t piece = 0; piece < 100; ++piece) {
        REQUIRE(queue.push(outgoing(gateway::ForwardData{9, piece, noise(20000, static_cast<unsigned>(piece))})));
    }
    REQUIRE(queue.push(outgoing(gateway::ForwardCancel{7})));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 101);
    CHECK(std::holds_alternative<gateway::ForwardCancel>(sent.front()));
}

// Failure: a request whose caller left while it waited for a slow link is sent and run all the same.
TEST_CASE("a forwarded request that is cancelled before the link took it is not sent")
{
    net::LinkQueue queue(true);
    gateway::ForwardRequest forward;
    forward.request.http.body = noise(50000, 1);
    for (std::uint64_t number = 1; number <= 100; ++number) {
        forward.number = number;
        REQUIRE(queue.push(outgoing(forward)));
    }
    for (std::uint64_t number = 2; number <= 100; ++number) {
        REQUIRE(queue.push(outgoing(gateway::ForwardCancel{number})));
    }
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE(sent.size() == 1);
    REQUIRE(std::holds_alternative<gateway::ForwardRequest>(sent.front()));
    CHECK(std::get<gateway::ForwardRequest>(sent.front()).number == 1);
    CHECK(queue.isEmpty());
}

// Failure: a full queue drops the notice that a caller has left, and the work goes on until its time limit.
TEST_CASE("a queue that takes no more messages still takes cancellations")
{
    net::LinkQueue queue(true);
    std::uint64_t piece = 0;
    while (queue.push(outgoing(gateway::ForwardData{9, piece++, noise(200000, 3)}))) { }
    CHECK(queue.push(outgoing(gateway::ForwardCancel{9})));
    const std::vector<FleetMessage> sent = drain(queue);
    REQUIRE_FALSE(sent.empty());
    CHECK(std::holds_alternative<gateway::ForwardCancel>(sent.front()));
}
