#include "fixture.h"
#include "rolloutfleet.h"
#include "snipeferry/gateway/storeposition.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr std::int64_t NEXT_ERA = 1;

/** A gateway whose store is about to come back from a copy. The revisions before are of era 0 and higher than those after. */
struct ReturnFixture : GatewayFixture
{
    ReturnFixture()
    {
        start();
        revision = 500;
        deploy(deployment(5));
        confirm();
    }

    static gateway::Record record(const std::string &key, const nlohmann::json &value, std::int64_t counter)
    {
        return {key, value.dump(), gateway::positionOf(NEXT_ERA, counter)};
    }

    /** The store returns with these records of a topic. */
    void comeBack(gateway::Topic topic, const std::vector<gateway::Record> &records, std::int64_t counter = 40)
    {
        gateway.topicRead(topic, records, gateway::positionOf(NEXT_ERA, counter), timers.now());
    }

    void write(gateway::Topic topic, const std::string &key, const std::optional<std::string> &value, std::int64_t counter)
    {
        const core::Revision position = gateway::positionOf(NEXT_ERA, counter);
        gateway.topicChanged(topic, {{key, value, position}}, position, timers.now());
    }

    bool hasRoute(const std::string &target)
    {
        return ask(target)->status != 404;
    }

    static gateway::Deployment withRoute(std::int64_t version, const std::string &prefix)
    {
        gateway::Deployment changed = deployment(version);
        changed.routes.push_back(route(prefix));
        return changed;
    }
};

} // namespace

// Guards against a confirmed change that comes back older, and against one that is not seen because its revision is lower than those before (CONFIG, DENIED).
TEST_CASE("a returned store's older deployment is not put in force, and the next one is")
{
    ReturnFixture fixture;
    fixture.deploy(ReturnFixture::withRoute(6, "/added/"));
    fixture.comeBack(gateway::Topic::Operator, {ReturnFixture::record("deployment", ReturnFixture::deployment(4), 30)});
    CHECK(fixture.gateway.revision(gateway::Topic::Operator) == gateway::positionOf(NEXT_ERA, 40));
    CHECK(fixture.hasRoute("/added/x"));
    gateway::Deployment next = ReturnFixture::withRoute(9, "/next/");
    fixture.write(gateway::Topic::Operator, "deployment", nlohmann::json(next).dump(), 41);
    CHECK(fixture.hasRoute("/next/x"));
    CHECK_FALSE(fixture.hasRoute("/added/x"));
    // The same version may be written again with what it really holds.
    next.routes.push_back(GatewayFixture::route("/more/"));
    fixture.write(gateway::Topic::Operator, "deployment", nlohmann::json(next).dump(), 42);
    CHECK(fixture.hasRoute("/more/x"));
}

// Guards against a backend server that has left and is in use again, because the copy is older than its leaving (DRAIN).
TEST_CASE("a backend server that leaves is not used again because a returned store announces it as before")
{
    ReturnFixture fixture;
    gateway::BackendServer leaving = GatewayFixture::server("s1");
    leaving.isDraining = true;
    leaving.startedAtMs = 7;
    fixture.announce(leaving);
    gateway::BackendServer before = leaving;
    before.isDraining = false;
    fixture.comeBack(gateway::Topic::BackendServers, {ReturnFixture::record("s1", before, 20), ReturnFixture::record("s2", GatewayFixture::server("s2"), 21)});
    for (int request = 0; request < 10; ++request) {
        fixture.ask("/once/x");
        CHECK(fixture.lastRun().server == core::BackendServerId("s2"));
    }
    // A process that has started since is another one.
    before.startedAtMs = 8;
    fixture.write(gateway::Topic::BackendServers, "s1", nlohmann::json(before).dump(), 43);
    fixture.write(gateway::Topic::BackendServers, "s2", std::nullopt, 44);
    fixture.timers.advance(absl::Seconds(5));
    fixture.confirm();
    fixture.write(gateway::Topic::Operator, "none", std::nullopt, 45);
    fixture.ask("/once/x");
    CHECK(fixture.lastRun().server == core::BackendServerId("s1"));
}

// Guards against an evacuation that ends because it was ordered in the seconds that the store has lost (EVAC).
TEST_CASE("an evacuation that a returned store lacks holds until it is written again or has not been for long")
{
    ReturnFixture fixture;
    const bool isWrittenAgain = GENERATE(false, true);
    ++fixture.revision;
    fixture.gateway.topicChanged(gateway::Topic::Operator, {{"north-1", std::string("{}"), fixture.revision}}, fixture.revision, fixture.timers.now());
    CHECK(fixture.ask("/once/x")->status == 503);
    const gateway::Record same = ReturnFixture::record("deployment", ReturnFixture::deployment(5), 30);
    fixture.comeBack(gateway::Topic::Operator, {same});
    CHECK(fixture.ask("/once/x")->status == 503);
    if (isWrittenAgain) {
        fixture.write(gateway::Topic::Operator, "north-1", std::string("{}"), 41);
    }
    // The servers are cold at the end of the evacuation, and warm after that.
    fixture.timers.advance(absl::Seconds(15));
    fixture.write(gateway::Topic::Operator, "other", std::nullopt, 50);
    const std::size_t sent = fixture.runs.sent.size();
    fixture.ask("/once/x");
    CHECK((fixture.runs.sent.size() > sent) == !isWrittenAgain);
}

// Guards against news of an instance that still lives in the era before, and for news of one that is already in the next.
TEST_CASE("what other instances tell of a later era wins, and what they tell of an earlier one does not")
{
    ReturnFixture fixture;
    fixture.linkRemote("gw-2", "north");
    const core::InstanceId peer("gw-2");
    gateway::Pulse pulse;
    pulse.sentAt = 2;
    pulse.topics = {{gateway::Topic::Operator, gateway::positionOf(NEXT_ERA, 0), absl::Milliseconds(10)}};
    fixture.gateway.received(peer, pulse);
    const std::vector<gateway::RecordsRequest> asked = fixture.links.all<gateway::RecordsRequest>();
    REQUIRE_FALSE(asked.empty());
    CHECK(asked.back().topic == gateway::Topic::Operator);

    // An update of the next era does not fit a copy of the one before.
    const std::string added = nlohmann::json(ReturnFixture::withRoute(6, "/added/")).dump();
    const core::Revision position = gateway::positionOf(NEXT_ERA, 10);
    fixture.gateway.received(
        peer, gateway::RecordsUpdate{gateway::Topic::Operator, gateway::positionOf(NEXT_ERA, 9), position, {{"deployment", added, position}}});
    CHECK_FALSE(fixture.hasRoute("/added/x"));
    fixture.gateway.received(peer, gateway::RecordsTransfer{gateway::Topic::Operator, position, {{"deployment", added, position}}});
    CHECK(fixture.hasRoute("/added/x"));
    CHECK(fixture.gateway.revision(gateway::Topic::Operator) == position);

    const std::string old = nlohmann::json(ReturnFixture::withRoute(8, "/old/")).dump();
    fixture.gateway.received(peer, gateway::RecordsTransfer{gateway::Topic::Operator, 900, {{"deployment", old, 900}}});
    fixture.gateway.received(peer, gateway::RecordsUpdate{gateway::Topic::Operator, 900, 901, {{"deployment", old, 901}}});
    CHECK_FALSE(fixture.hasRoute("/old/x"));
}

// Guards against two states with one counter from two eras that count as equal.
TEST_CASE("a copy is replaced by a returned store's state, and only what differs is a change")
{
    core::VirtualTimerService timers;
    gateway::RecordMirror mirror(timers);
    mirror.replace({{"a", "1", 10}, {"b", "1", 11}, {"c", "1", 12}}, 12);
    const core::Revision position = gateway::positionOf(NEXT_ERA, 12);
    const std::vector<gateway::RecordChange> changes
        = mirror.replace({{"a", "1", gateway::positionOf(NEXT_ERA, 10)}, {"b", "2", gateway::positionOf(NEXT_ERA, 11)}}, position);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "b");
    CHECK(changes[1] == gateway::RecordChange{"c", std::nullopt, position});
    CHECK(mirror.revision() == position);
    CHECK(mirror.changeRevision() >= gateway::positionOf(NEXT_ERA, 0));
    CHECK(mirror.replace({{"a", "3", 90}}, 90).empty());
    CHECK(mirror.apply({{"a", "3", 91}}, 91).empty());
    CHECK(gateway::eraOf(gateway::positionOf(gateway::MAX_STORE_ERA, gateway::MAX_POSITION_COUNTER)) == gateway::MAX_STORE_ERA);
    CHECK(gateway::counterOf(gateway::positionOf(gateway::MAX_STORE_ERA, gateway::MAX_POSITION_COUNTER)) == gateway::MAX_POSITION_COUNTER);
}

// Guards against a trial that begins again, or of an earlier version, because the store gave its order another revision (EXPOSURE).
TEST_CASE("an order that is read again from a returned store is the same roll-out")
{
    RolloutFleet fleet(1, 1);
    gateway::RolloutGuard &guard = *fleet.guards[0];
    const core::VersionId third("v3");
    guard.decisionStored({SERVICE, 7, gateway::RolloutState::Reverted, {}});
    guard.order({SERVICE, third, absl::Seconds(12)}, 90);
    guard.decisionStored({SERVICE, 90, gateway::RolloutState::Reverted, {}});
    guard.storeReturned();
    // The copy still holds the earlier order; the latest one is written again, and once more.
    guard.order({SERVICE, NEW_VERSION, absl::Seconds(12)}, gateway::positionOf(NEXT_ERA, 7));
    CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
    guard.order({SERVICE, third, absl::Seconds(12)}, gateway::positionOf(NEXT_ERA, 30));
    guard.order({SERVICE, third, absl::Seconds(12)}, gateway::positionOf(NEXT_ERA, 31));
    CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(third));
    CHECK_FALSE(guard.choose(SERVICE, everywhere).permits(NEW_VERSION));
    // A new order of the next era has a lower counter than those before.
    const core::VersionId fourth("v4");
    guard.order({SERVICE, fourth, absl::Seconds(12)}, gateway::positionOf(NEXT_ERA, 33));
    guard.decisionStored({SERVICE, gateway::positionOf(NEXT_ERA, 33), gateway::RolloutState::Completed, {}});
    CHECK(guard.choose(SERVICE, everywhere).only == fourth);
}
