#include "fixtures.h"
#include "recordcodec.h"
#include "snipeferry/configuration/manifest.h"
#include "snipeferry/configuration/plan.h"
#include "snipeferry/gateway/fleetmessages.h"
#include "snipeferry/limits/slotrecord.h"
#include "snipeferry/net/fleetcodec.h"
#include "snipeferry/operations/operationrecord.h"
#include "snipeferry/peers/codec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/strip.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

// Instances of an earlier build run beside this one while a fleet is replaced, and their records outlive them at the platform.
using namespace snipeferry;

namespace {

using Json = nlohmann::json;

/** Fixtures whose kind is the text, or begins with it where the text ends with a separator. */
std::vector<std::string> fixtures(const std::string &kind)
{
    const bool isPrefix = kind.back() == ':' || kind.back() == '-';
    std::vector<std::string> all;
    for (const compatibility::Fixture &fixture : compatibility::FIXTURES) {
        if (isPrefix ? absl::StartsWith(fixture.kind, kind) : kind == fixture.kind) {
            all.push_back(absl::HexStringToBytes(fixture.bytes));
        }
    }
    REQUIRE_FALSE(all.empty());
    return all;
}

std::string fixture(const std::string &kind)
{
    const std::vector<std::string> all = fixtures(kind);
    REQUIRE(all.size() == 1);
    return all.front();
}

/** Reads a JSON record into its type and writes it again. */
template<typename Type>
std::string rewritten(const std::string &text)
{
    return Json(Json::parse(text).get<Type>()).dump();
}

} // namespace

TEST_CASE("every peer message of an earlier build is read and written with the same bytes")
{
    std::set<std::size_t> seen;
    for (const std::string &frame : fixtures("peer")) {
        const core::Expected<messages::PeerMessage> message = peers::decode(frame);
        INFO(absl::BytesToHexString(frame));
        REQUIRE(message);
        CHECK(peers::encode(*message) == frame);
        seen.insert(message->index());
    }
    CHECK(seen.size() == std::variant_size_v<messages::PeerMessage>);
}

TEST_CASE("every gateway message of an earlier build is read and written with the same bytes")
{
    std::set<std::size_t> seen;
    std::map<std::size_t, gateway::FleetMessage> messages;
    for (const std::string &frame : fixtures("fleet")) {
        const core::Expected<gateway::FleetMessage> message = net::decodeFleetMessage(frame);
        INFO(absl::BytesToHexString(frame));
        REQUIRE(message);
        // Encoded here without compression, whose bytes depend on the library's version.
        Json fields = Json::array({message->index()});
        fields.push_back(std::visit([](const auto &typed) { return Json(typed); }, *message));
        const std::vector<std::uint8_t> bytes = Json::to_cbor(fields);
        CHECK(std::string(bytes.begin(), bytes.end()) == frame);
        seen.insert(message->index());
        messages.emplace(message->index(), *message);
    }
    CHECK(seen.size() == std::variant_size_v<gateway::FleetMessage>);

    const core::Expected<gateway::FleetMessage> compressed = net::decodeFleetMessage(fixture("fleet-compressed"));
    REQUIRE(compressed);
    CHECK(std::get<gateway::Pulse>(*compressed) == std::get<gateway::Pulse>(messages.at(compressed->index())));
}

TEST_CASE("records that an earlier build stored at the platform are read and written with the same bytes")
{
    const std::string slot = fixture("slot");
    REQUIRE(limits::parseSlotRecord(slot));
    CHECK(limits::encodeSlotRecord(*limits::parseSlotRecord(slot)) == slot);
    CHECK(limits::slotKey({core::DataCentreId("dc-1"), 2}) == fixture("slot-key"));
    for (const std::string &record : fixtures("operation")) {
        INFO(record);
        REQUIRE(operations::parseRecord(record));
        CHECK(Json(*operations::parseRecord(record)).dump() == record);
    }
    CHECK(operations::recordKey(core::CustomerId("cust"), "k-1") == fixture("operation-key"));
    CHECK(rewritten<rollout::StageNotice>(fixture("stage")) == fixture("stage"));
    CHECK(rewritten<peak::LedgerReport>(fixture("ledger")) == fixture("ledger"));
}

TEST_CASE("the digest of a claimed operation is that of an earlier build")
{
    // The digest covers the request of the forward fixture.
    for (const std::string &frame : fixtures("peer")) {
        const messages::PeerMessage message = peers::decode(frame).value();
        if (const node::ForwardRequest *forward = std::get_if<node::ForwardRequest>(&message)) {
            CHECK(operations::requestDigest(forward->request) == fixture("operation-digest"));
        }
    }
}

TEST_CASE("a configuration and a plan of an earlier build are read and written with the same bytes")
{
    const std::string text = fixture("manifest");
    const core::Expected<configuration::Manifest> manifest = configuration::decodeManifest(text);
    REQUIRE(manifest);
    CHECK(configuration::encodeManifest(*manifest) == text);
    std::map<std::string, std::string> chunks;
    for (const configuration::ChunkReference &reference : manifest->chunks) {
        chunks[reference.name] = fixture("chunk-" + reference.name);
    }
    const core::Expected<configuration::Configuration> joined = configuration::joinConfiguration(*manifest, chunks);
    REQUIRE(joined);
    for (const configuration::Chunk &chunk : configuration::splitConfiguration(*joined)) {
        CHECK(chunk.bytes == chunks.at(chunk.name));
    }
    const std::string plan = fixture("plan");
    REQUIRE(configuration::decodePlan(plan));
    CHECK(configuration::encodePlan(*configuration::decodePlan(plan)) == plan);
}

TEST_CASE("the gateway's records of an earlier build are read and written with the same bytes")
{
    const fleetplatform::RecordCodec records;
    const std::string member = fixture("member");
    REQUIRE(records.decodeMember(member));
    CHECK(records.encodeMember(*records.decodeMember(member)) == member);
    CHECK(records.memberKey(records.decodeMember(member)->id) == fixture("member-key"));
    const gateway::RolloutOrder order{core::ServiceId("s"), core::VersionId("v2"), absl::Seconds(60)};
    std::vector<std::string> statuses;
    std::vector<std::string> decisions;
    for (const gateway::RolloutState state :
        {gateway::RolloutState::Trial, gateway::RolloutState::Takeover, gateway::RolloutState::Completed, gateway::RolloutState::Reverted}) {
        statuses.push_back(records.rolloutStatus(order, state).value);
        decisions.push_back(records.rolloutDecision(order, 9, state).value);
        CHECK(records.rolloutDecision(order, 9, state).key == "snipeferry/rollouts/s/9");
    }
    CHECK(statuses == fixtures("status:"));
    CHECK(decisions == fixtures("decision:"));
    CHECK(records.decodeDecision(decisions[2]) == gateway::RolloutState::Completed);
    CHECK(records.decodeDecision(decisions[3]) == gateway::RolloutState::Reverted);
}

// Failure: a fleet that was upgraded after a roll-out no longer reads what was decided on it.
TEST_CASE("a roll-out notice of an earlier build is read, and a present one by an earlier build")
{
    const fleetplatform::RecordCodec records;
    const std::string earlier = R"({"order":9,"service":"s","state":"completed"})";
    const gateway::RolloutNotice notice{core::ServiceId("s"), 9, gateway::RolloutState::Completed, {}};
    REQUIRE(records.decodeRolloutNotice(earlier));
    CHECK(*records.decodeRolloutNotice(earlier) == notice);
    CHECK(records.rolloutNotice(notice).value == earlier);
    const gateway::RolloutNotice present{core::ServiceId("s"), 9, gateway::RolloutState::Completed, core::VersionId("v2")};
    CHECK(records.decodeRolloutNotice(records.rolloutNotice(present).value) == present);
    CHECK(records.rolloutNotice(present).value == R"({"order":9,"service":"s","state":"completed","target":"v2"})");
    CHECK_FALSE(records.decodeRolloutNotice(R"({"order":9,"service":"s","state":"completed","target":7})"));
}
