#include "fixture.h"
#include "snipeferry/gateway/relayranking.h"

#include <deque>
#include <set>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: hundreds of instances. If all of a region told each other, messages would grow with the square of their number.
namespace {

constexpr int REGION_SIZE = 98;

gateway::Member member(const std::string &name, const std::string &dataCentre, const std::string &region, double capacity)
{
    return {core::InstanceId(name), 1, core::DataCentreId(dataCentre), core::RegionId(region), name + ":80", name + ":90", capacity};
}

/** Members of one region in two data centres: a few large instances and many small ones. */
std::vector<gateway::Member> largeRegion(const std::string &region = "north")
{
    std::vector<gateway::Member> members;
    for (int index = 0; index < REGION_SIZE; ++index) {
        const std::string dataCentre = absl::StrCat(region, index % 2 == 0 ? "-1" : "-2");
        members.push_back(member(absl::StrCat(region, "-", index), dataCentre, region, index < 6 ? 0.5 : 0.12));
    }
    return members;
}

/** A whole region of real decision code on one clock. Messages arrive at once, unless the link between two instances is cut. */
class Region
{
public:
    struct Instance
    {
        Instance(Region &region, const gateway::Member &self)
            : links(region, self.id),
              gateway(settings(self), gateway::GatewayPorts{region.timers, region.headers, region.records, runs, links, journal})
        {
        }

        static gateway::GatewaySettings settings(const gateway::Member &self)
        {
            gateway::GatewaySettings settings = GatewayFixture::settings();
            settings.self = self;
            settings.regions = {{core::DataCentreId("north-1"), core::RegionId("north")}, {core::DataCentreId("north-2"), core::RegionId("north")}};
            settings.flow.seed = std::hash<std::string>{}(self.id.value());
            return settings;
        }

        class Links : public gateway::FleetLinks
        {
        public:
            Links(Region &region, core::InstanceId self)
                : m_region(region),
                  m_self(std::move(self))
            {
            }

            bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override
            {
                return m_region.deliver(m_self, to, message);
            }

            void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
            {
                for (const core::InstanceId &instance : to) {
                    send(instance, message);
                }
            }

        private:
            Region &m_region;
            core::InstanceId m_self;
        };

        FakeRuns runs;
        FakeJournal journal;
        Links links;
        gateway::Gateway gateway;
    };

    explicit Region(const std::vector<gateway::Member> &all)
        : members(all)
    {
        for (const gateway::Member &self : members) {
            instances.emplace(self.id, std::make_unique<Instance>(*this, self));
        }
        std::vector<gateway::Record> announcements;
        for (const gateway::Member &self : members) {
            announcements.push_back({self.id.value(), nlohmann::json(self).dump(), 1});
        }
        for (auto &entry : instances) {
            gateway::Gateway &gateway = entry.second->gateway;
            gateway.topicRead(gateway::Topic::Operator, {{"deployment", nlohmann::json(GatewayFixture::deployment()).dump(), 2}}, 2, timers.now());
            gateway.topicRead(gateway::Topic::BackendServers, {{"s1", nlohmann::json(GatewayFixture::server("s1")).dump(), 3}}, 3, timers.now());
            gateway.topicRead(gateway::Topic::Members, announcements, 3, timers.now());
        }
        advance(absl::Seconds(2));
    }

    bool deliver(const core::InstanceId &from, const core::InstanceId &to, const gateway::FleetMessage &message)
    {
        if (linked.count(pair(from, to)) == 0 || isDown(to)) {
            return false;
        }
        ++delivered;
        ++deliveredTo[to];
        queue.push_back({from, to, message});
        return true;
    }

    /** Lets time pass; links open and close as both ends want, and the relay or data centre that watches confirms its topics. */
    void advance(absl::Duration time)
    {
        const absl::Time end = timers.now() + time;
        while (timers.now() < end) {
            keepLinks();
            confirmTopics();
            timers.advance(step);
            while (!queue.empty()) {
                const Envelope envelope = queue.front();
                queue.pop_front();
                if (!isDown(envelope.to) && !isDown(envelope.from)) {
                    instances.at(envelope.to)->gateway.received(envelope.from, envelope.message);
                }
            }
        }
    }

    bool isDown(const core::InstanceId &id) const
    {
        return down.count(id) > 0;
    }

    gateway::Gateway &gateway(const core::InstanceId &id)
    {
        return instances.at(id)->gateway;
    }

    /** Instances that watch a topic at the store. */
    std::vector<core::InstanceId> watchers(gateway::Topic topic)
    {
        std::vector<core::InstanceId> all;
        for (auto &entry : instances) {
            if (!isDown(entry.first) && entry.second->gateway.shouldWatch(topic)) {
                all.push_back(entry.first);
            }
        }
        return all;
    }

    struct Envelope
    {
        core::InstanceId from;
        core::InstanceId to;
        gateway::FleetMessage message;
    };

    core::VirtualTimerService timers;
    FakeHeaders headers;
    FakeRecords records;
    std::vector<gateway::Member> members;
    std::map<core::InstanceId, std::unique_ptr<Instance>> instances;
    std::set<std::pair<core::InstanceId, core::InstanceId>> linked;
    std::set<core::InstanceId> down;
    std::deque<Envelope> queue;
    std::uint64_t delivered = 0;
    std::map<core::InstanceId, std::uint64_t> deliveredTo;
    core::Revision revision = 3;
    /** Time that passes until a message arrives. */
    absl::Duration step = absl::Milliseconds(50);

private:
    static std::pair<core::InstanceId, core::InstanceId> pair(const core::InstanceId &left, const core::InstanceId &right)
    {
        return left < right ? std::make_pair(left, right) : std::make_pair(right, left);
    }

    void keepLinks()
    {
        std::set<std::pair<core::InstanceId, core::InstanceId>> wanted;
        for (auto &entry : instances) {
            if (isDown(entry.first)) {
                continue;
            }
            for (const gateway::Member &other : entry.second->gateway.membersToLink()) {
                if (!isDown(other.id)) {
                    wanted.insert(pair(entry.first, other.id));
                }
            }
        }
        const std::set<std::pair<core::InstanceId, core::InstanceId>> before = std::exchange(linked, wanted);
        for (const auto &link : before) {
            if (wanted.count(link) == 0) {
                instances.at(link.first)->gateway.linkDown(link.second);
                instances.at(link.second)->gateway.linkDown(link.first);
            }
        }
        for (const auto &link : wanted) {
            if (before.count(link) == 0) {
                instances.at(link.first)->gateway.linkUp(memberOf(link.second));
                instances.at(link.second)->gateway.linkUp(memberOf(link.first));
            }
        }
    }

    const gateway::Member &memberOf(const core::InstanceId &id) const
    {
        return *std::find_if(members.begin(), members.end(), [&id](const gateway::Member &candidate) { return candidate.id == id; });
    }

    void confirmTopics()
    {
        for (const gateway::Topic topic : {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members}) {
            for (const core::InstanceId &watcher : watchers(topic)) {
                gateway(watcher).topicChanged(topic, {}, revision, timers.now());
            }
        }
    }
};

} // namespace

TEST_CASE("relays are the largest instances, one of each data centre first, and the same in any order of the members")
{
    std::vector<gateway::Member> members = largeRegion();
    std::vector<const gateway::Member *> pointers;
    pointers.reserve(members.size());
    for (const gateway::Member &entry : members) {
        pointers.push_back(&entry);
    }
    const std::vector<core::InstanceId> relays = gateway::chooseRelays(pointers);
    REQUIRE(relays.size() == gateway::RELAYS_PER_REGION);
    std::set<core::DataCentreId> dataCentres;
    for (const core::InstanceId &relay : relays) {
        const auto it = std::find_if(members.begin(), members.end(), [&relay](const gateway::Member &entry) { return entry.id == relay; });
        CHECK(it->capacity == 0.5);
        dataCentres.insert(it->dataCentre);
    }
    CHECK(dataCentres.size() == 2);
    std::reverse(pointers.begin(), pointers.end());
    CHECK(gateway::chooseRelays(pointers) == relays);
}

TEST_CASE("members of an earlier build, which state no capacity, are never relays")
{
    const gateway::Member old = member("a", "north-1", "north", 0);
    const gateway::Member young = member("b", "north-2", "north", 0.1);
    CHECK(gateway::chooseRelays({&old, &young}) == std::vector<core::InstanceId>{young.id});
}

TEST_CASE("in a large region an instance exchanges messages with its relays alone, and few of them")
{
    Region region(largeRegion());
    const std::uint64_t before = region.delivered;
    region.deliveredTo.clear();
    region.advance(absl::Seconds(4));
    const double perInstanceAndSecond = static_cast<double>(region.delivered - before) / REGION_SIZE / 4;
    // A pulse to each of 97 others every 0.8 s would be 121 a second.
    CHECK(perInstanceAndSecond < 25);
    const core::InstanceId small("north-50");
    CHECK(region.gateway(small).membersToLink().size() == gateway::RELAYS_PER_REGION);
    CHECK(region.deliveredTo[small] / 4 < 15);
}

TEST_CASE("in a large region one relay of each data centre watches a topic, and its confirmations keep all instances fresh")
{
    Region region(largeRegion());
    region.advance(absl::Seconds(3));
    for (const gateway::Topic topic : {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members}) {
        const std::vector<core::InstanceId> watchers = region.watchers(topic);
        CHECK(watchers.size() == 2);
    }
    for (const auto &entry : region.instances) {
        CHECK(entry.second->gateway.isReady());
    }
}

TEST_CASE("an instance of a large region knows the work of all others through a summary")
{
    Region region(largeRegion());
    // Each request is a run at the only backend server; one instance in four sends one.
    int sent = 0;
    for (auto &entry : region.instances) {
        if (++sent % 4 == 0) {
            entry.second->gateway.requests().arrived(
                gateway::HttpRequest{"POST", "/once/x", {{"id", absl::StrCat("r", sent)}}, ""}, std::make_shared<FakeSink>(std::make_shared<Answer>()));
        }
    }
    region.advance(absl::Seconds(1.5));
    for (const char *name : {"north-50", "north-51", "north-97"}) {
        double runs = 0;
        for (const gateway::Reading &reading : region.gateway(core::InstanceId(name)).readings()) {
            runs = reading.name == "backend_server_runs" ? reading.value : runs;
        }
        CHECK(static_cast<int>(runs) == REGION_SIZE / 4);
    }
}

TEST_CASE("when the relays of a large region fail, others take over and no instance goes stale")
{
    Region region(largeRegion());
    std::vector<const gateway::Member *> pointers;
    for (const gateway::Member &entry : region.members) {
        pointers.push_back(&entry);
    }
    for (const core::InstanceId &relay : gateway::chooseRelays(pointers)) {
        region.down.insert(relay);
    }
    region.advance(absl::Seconds(8));
    for (const gateway::Topic topic : {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members}) {
        CHECK(region.watchers(topic).size() == 2);
    }
    for (const auto &entry : region.instances) {
        if (!region.isDown(entry.first)) {
            CHECK(entry.second->gateway.isReady());
        }
    }
    // The directory no longer names what has failed.
    const std::vector<std::string> addresses
        = region.gateway(core::InstanceId("north-50")).callerAddresses(core::RegionId("north"), core::DataCentreId("north-1"));
    CHECK(addresses.size() >= 40);
    for (const core::InstanceId &failed : region.down) {
        CHECK(std::count(addresses.begin(), addresses.end(), failed.value() + ":80") == 0);
    }
}

TEST_CASE("a region of few instances has no relays")
{
    std::vector<gateway::Member> members = largeRegion();
    members.resize(gateway::MAX_FULLY_LINKED_INSTANCES);
    Region region(members);
    region.advance(absl::Seconds(1));
    CHECK(region.gateway(core::InstanceId("north-7")).membersToLink().size() == gateway::MAX_FULLY_LINKED_INSTANCES - 1);
}

TEST_CASE("a customer's tokens collect at the relays, and a request larger than an instance's part is served after one round trip")
{
    // 40,000 tokens of burst in 98 parts are 408 each; a request of 12,000 needs thirty of them.
    std::vector<gateway::Member> members = largeRegion();
    Region region(members);
    gateway::Deployment deployment = GatewayFixture::deployment(5);
    deployment.customers.front().ratePerSecond = 20000;
    deployment.customers.front().burst = 40000;
    deployment.customers.front().countsTokens = true;
    region.revision = 20;
    for (auto &entry : region.instances) {
        entry.second->gateway.topicChanged(
            gateway::Topic::Operator, {{"deployment", nlohmann::json(deployment).dump(), region.revision}}, region.revision, region.timers.now());
    }
    region.advance(absl::Seconds(5));
    const std::shared_ptr<Answer> answer = std::make_shared<Answer>();
    Region::Instance &asked = *region.instances.at(core::InstanceId("north-50"));
    const auto ask = [&](const std::string &id) {
        asked.gateway.requests().arrived(
            gateway::HttpRequest{"POST", "/keyed/x", {{"id", id}, {"key", "bar-key"}, {"tokens", "12000"}}, ""}, std::make_shared<FakeSink>(answer));
    };
    region.step = absl::Milliseconds(5);
    ask("r1");
    region.advance(absl::Milliseconds(100));
    CHECK(answer->finalCount == 0);
    CHECK(asked.runs.sent.size() == 1);
}

TEST_CASE("a relay tells other regions what concerns its region: their relays, or all its links to a region without relays")
{
    const bool isOtherLarge = GENERATE(true, false);
    core::VirtualTimerService timers;
    const gateway::Member self = member("north-0", "north-1", "north", 2.0);
    gateway::FleetView view(self, timers);
    for (const gateway::Member &mate : largeRegion()) {
        view.announceMember(mate);
    }
    std::vector<gateway::Member> others = largeRegion("south");
    others.resize(isOtherLarge ? others.size() : 10);
    std::vector<const gateway::Member *> pointers;
    for (const gateway::Member &other : others) {
        view.announceMember(other);
        pointers.push_back(&other);
    }
    view.updateRelays();
    REQUIRE(view.isRelay());
    const std::vector<core::InstanceId> relays = gateway::chooseRelays(pointers);
    for (const gateway::Member &other : others) {
        const bool isRelay = std::find(relays.begin(), relays.end(), other.id) != relays.end();
        CHECK(view.receivesRegionReports(other.id) == (isRelay || !isOtherLarge));
    }
}
