#include "snipeferry/membership/memberlist.h"

#include "snipeferry/peers/codec.h"
#include "support/fakefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace snipeferry;

namespace {

using Fleet = test::FakeFleet<membership::MemberList>;

membership::InstanceDescription makeDescription(int dataCentre, int index, core::Incarnation incarnation = 1)
{
    const std::string id = "i-" + std::to_string(dataCentre) + "-" + std::to_string(index);
    const std::string host = "10.0." + std::to_string(dataCentre) + "." + std::to_string(index);
    return {core::InstanceId(id), incarnation, core::DataCentreId("dc-" + std::to_string(dataCentre)), host + ":7000", host + ":8000", false};
}

/** Returns the given number of seeds, each in another data centre. Only the address of a seed is set. */
std::vector<membership::InstanceDescription> makeSeeds(int seedCount)
{
    std::vector<membership::InstanceDescription> list;
    for (int i = 0; i < seedCount; ++i) {
        membership::InstanceDescription seed;
        seed.peerAddress = makeDescription(i, 0).peerAddress;
        list.push_back(seed);
    }
    return list;
}

std::unique_ptr<membership::MemberList> makeMemberList(Fleet::Instance &instance, int seedCount)
{
    membership::MembershipSettings settings;
    settings.seeds = makeSeeds(seedCount);
    return std::make_unique<membership::MemberList>(settings, instance.self, *instance.timers, *instance.outbox);
}

/** Creates a fleet with the given number of instances in each data centre. At start the instances know only the seeds. */
Fleet makeFleet(int dataCentreCount, int instancesPerDataCentre)
{
    Fleet fleet([dataCentreCount](Fleet::Instance &instance) { return makeMemberList(instance, std::min(dataCentreCount, 3)); });
    for (int i = 0; i < dataCentreCount; ++i) {
        for (int j = 0; j < instancesPerDataCentre; ++j) {
            fleet.start(makeDescription(i, j));
        }
    }
    return fleet;
}

bool isUsable(Fleet &fleet, const std::string &observer, const std::string &other)
{
    const membership::Member *member = fleet.part(observer).find(core::InstanceId(other));
    return member != nullptr && member->isUsable;
}

int countUsable(Fleet &fleet, const std::string &observer, int dataCentre)
{
    const std::vector<membership::Member> members = fleet.part(observer).members();
    return static_cast<int>(std::count_if(members.begin(), members.end(), [&](const membership::Member &member) {
        return member.isUsable && member.description.dataCentre == core::DataCentreId("dc-" + std::to_string(dataCentre));
    }));
}

} // namespace

TEST_CASE("instances that know only seeds find all instances of their data centre and link to some in each other one")
{
    Fleet fleet = makeFleet(4, 5);
    fleet.run(absl::Seconds(20));
    for (const auto &entry : fleet.instances()) {
        for (int dataCentre = 0; dataCentre < 4; ++dataCentre) {
            const bool isOwn = entry.second.self.dataCentre == core::DataCentreId("dc-" + std::to_string(dataCentre));
            INFO(entry.first << " sees dc-" << dataCentre);
            CHECK(countUsable(fleet, entry.first, dataCentre) >= (isOwn ? 4 : 2));
        }
    }
}

TEST_CASE("a new instance is useful within seconds")
{
    Fleet fleet = makeFleet(3, 4);
    fleet.run(absl::Seconds(20));
    fleet.start(makeDescription(2, 9));
    fleet.run(absl::Seconds(4));
    CHECK(countUsable(fleet, "i-2-9", 2) == 4);
    CHECK(countUsable(fleet, "i-2-9", 0) >= 1);
    CHECK(isUsable(fleet, "i-2-1", "i-2-9"));
}

TEST_CASE("a silent member gets no new work, is removed later, and is found again after a partition without the platform's list")
{
    Fleet fleet = makeFleet(2, 3);
    fleet.run(absl::Seconds(10));
    REQUIRE(isUsable(fleet, "i-0-1", "i-0-2"));
    REQUIRE(countUsable(fleet, "i-0-1", 1) > 0);

    fleet.cut([](const membership::InstanceDescription &from, const membership::InstanceDescription &to) { return from.dataCentre != to.dataCentre; });
    fleet.run(absl::Seconds(3));
    CHECK(countUsable(fleet, "i-0-1", 1) == 0);
    CHECK(countUsable(fleet, "i-0-1", 0) == 2);
    fleet.run(absl::Minutes(5));
    CHECK(fleet.part("i-0-1").members().size() == 2);

    fleet.heal();
    fleet.run(absl::Seconds(15));
    CHECK(countUsable(fleet, "i-0-1", 1) > 0);
}

TEST_CASE("messages of an older incarnation are ignored once a newer one was heard")
{
    Fleet fleet = makeFleet(1, 2);
    fleet.run(absl::Seconds(5));
    fleet.start(makeDescription(0, 1, 2));
    fleet.run(absl::Seconds(5));
    REQUIRE(fleet.part("i-0-0").find(core::InstanceId("i-0-1"))->description.incarnation == 2);

    const membership::InstanceDescription olderIncarnation = makeDescription(0, 1, 1);
    fleet.part("i-0-0").handle(messages::PeerReceived{olderIncarnation.id, membership::Heartbeat{olderIncarnation, 99, 7, {}, {}, false}});
    fleet.part("i-0-0").handle(messages::PeerReceived{olderIncarnation.id, membership::Pulse{1, 7, {}}});
    CHECK(fleet.part("i-0-0").find(olderIncarnation.id)->description.incarnation == 2);
    CHECK(fleet.part("i-0-0").find(olderIncarnation.id)->revision == 0);

    // Messages of the older incarnation are still ignored after the newer one has been removed.
    fleet.kill("i-0-1");
    fleet.run(absl::Seconds(15));
    REQUIRE(fleet.part("i-0-0").find(olderIncarnation.id) == nullptr);
    fleet.part("i-0-0").handle(messages::PeerReceived{olderIncarnation.id, membership::Heartbeat{olderIncarnation, 100, 7, {}, {}, false}});
    CHECK(fleet.part("i-0-0").find(olderIncarnation.id) == nullptr);
}

TEST_CASE("a member that starts draining gets no new work from then on")
{
    Fleet fleet = makeFleet(1, 3);
    fleet.run(absl::Seconds(5));
    fleet.part("i-0-1").drain();
    fleet.run(absl::Milliseconds(200));
    CHECK_FALSE(isUsable(fleet, "i-0-0", "i-0-1"));
    CHECK(isUsable(fleet, "i-0-0", "i-0-2"));
}

TEST_CASE("an instance that is listed but silent is never usable, and one that sends heartbeats is usable without being listed")
{
    Fleet fleet = makeFleet(1, 2);
    fleet.run(absl::Seconds(5));
    platform::DirectorySnapshot snapshot;
    const membership::InstanceDescription silentInstance = makeDescription(0, 7);
    snapshot.instances = {{silentInstance.id, silentInstance.dataCentre, 1, silentInstance.peerAddress, silentInstance.callerAddress, false}};
    fleet.part("i-0-0").handle(messages::DirectoryChanged{snapshot});
    fleet.run(absl::Seconds(30));
    CHECK(fleet.part("i-0-0").find(silentInstance.id) == nullptr);
    CHECK(isUsable(fleet, "i-0-0", "i-0-1"));
}

TEST_CASE("a paused process does not take its members for silent when it resumes")
{
    Fleet fleet = makeFleet(1, 3);
    fleet.run(absl::Seconds(5));
    fleet.at("i-0-0").isFrozen = true;
    fleet.run(absl::Seconds(8));
    CHECK_FALSE(isUsable(fleet, "i-0-1", "i-0-0"));
    fleet.at("i-0-0").isFrozen = false;
    fleet.at("i-0-0").inbox.clear();
    fleet.run(absl::Milliseconds(100));
    CHECK(isUsable(fleet, "i-0-0", "i-0-1"));
    fleet.run(absl::Seconds(1));
    CHECK(isUsable(fleet, "i-0-1", "i-0-0"));
}

TEST_CASE("loads travel between data centres")
{
    Fleet fleet = makeFleet(3, 3);
    fleet.run(absl::Seconds(10));
    for (int busy = 1; busy <= 5; ++busy) {
        for (auto &entry : fleet.instances()) {
            entry.second.part->setState(3, {{core::ServiceId("chat"), core::VersionId("v1"), 8, busy, 0}});
        }
        fleet.run(absl::Seconds(2));
        for (const membership::InstanceDescription &kept : fleet.at("i-0-0").kept) {
            if (kept.id.isEmpty()) {
                continue;
            }
            const membership::Member *member = fleet.part("i-0-0").find(kept.id);
            REQUIRE(member != nullptr);
            REQUIRE(member->loads.size() == 1);
            CHECK(member->loads.front().busy == busy);
            CHECK(member->revision == 3);
        }
    }
}

TEST_CASE("heartbeats of 416 instances in 26 data centres stay under 20 KB a second per instance")
{
    constexpr int DATA_CENTRE_COUNT = 26;
    constexpr int INSTANCES_PER_DATA_CENTRE = 16;
    constexpr int MEASURED_SECONDS = 10;
    /** Size of the frame, TLS record and TCP/IP headers of a message. */
    constexpr double OVERHEAD_BYTES = 70;
    Fleet fleet = makeFleet(DATA_CENTRE_COUNT, INSTANCES_PER_DATA_CENTRE);
    fleet.run(absl::Seconds(12), absl::Milliseconds(500));

    // The loads of five services change every second.
    std::map<std::string, double> bytes;
    std::map<std::string, double> messageCounts;
    fleet.onSend = [&](const Fleet::Instance &from, const messages::SendToPeer &send) {
        if (from.self.id.value().find("-7") == std::string::npos) {
            return;
        }
        bytes[from.self.id.value()] += static_cast<double>(peers::encode(send.message).size());
        messageCounts[from.self.id.value()] += 1;
    };
    for (int second = 0; second < MEASURED_SECONDS; ++second) {
        for (auto &entry : fleet.instances()) {
            std::vector<membership::ServiceLoad> loads;
            loads.reserve(5);
            for (int service = 0; service < 5; ++service) {
                loads.push_back(
                    {core::ServiceId("service-" + std::to_string(service)), core::VersionId("v1"), 600, (second * 97 + service * 41) % 600, second % 7});
            }
            entry.second.part->setState(1, loads);
        }
        fleet.run(absl::Seconds(1), absl::Milliseconds(500));
    }
    double maxBytesPerSecond = 0;
    double maxBytesPerSecondWithOverhead = 0;
    for (const std::pair<const std::string, double> &entry : bytes) {
        const double bytesPerSecond = entry.second / MEASURED_SECONDS;
        maxBytesPerSecond = std::max(maxBytesPerSecond, bytesPerSecond);
        maxBytesPerSecondWithOverhead
            = std::max(maxBytesPerSecondWithOverhead, bytesPerSecond + OVERHEAD_BYTES * messageCounts[entry.first] / MEASURED_SECONDS);
    }
    const std::size_t links = fleet.at("i-3-7").linked.size();
    WARN("membership at " << fleet.instances().size() << " instances: " << links << " links, worst " << maxBytesPerSecond << " B/s sent as CBOR, "
                          << maxBytesPerSecondWithOverhead << " B/s with frame, TLS and TCP headers");
    CHECK(bytes.size() >= static_cast<std::size_t>(DATA_CENTRE_COUNT));
    CHECK(maxBytesPerSecondWithOverhead < 20'000);
}
