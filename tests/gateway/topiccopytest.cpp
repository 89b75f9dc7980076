#include "fixture.h"
#include "snipeferry/net/fleetcodec.h"
#include "support/seeds.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <utility>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

const core::InstanceId PEER("gw-2");

/** A gateway whose first reading of the backend servers had a page of revision 102 with s1, and one of revision 105 with the record s2 of revision 104. */
struct MixedPagesFixture : GatewayFixture
{
    MixedPagesFixture()
    {
        gateway.topicRead(gateway::Topic::Operator, {{"deployment", nlohmann::json(deployment()).dump(), 90}}, 105, timers.now());
        gateway.topicRead(gateway::Topic::BackendServers, {recordOf("s1", 80), recordOf("s2", 104)}, 102, absl::InfinitePast());
        gateway.linkUp(member(PEER.value(), "north"));
    }

    static gateway::Record recordOf(const std::string &name, core::Revision revision)
    {
        return {name, nlohmann::json(server(name)).dump(), revision};
    }

    /** The peer tells the newest change of the backend servers that it knows, and when the store confirmed that there is no newer one. */
    void hear(core::Revision revision, absl::Duration confirmedAgo = absl::Milliseconds(100))
    {
        timers.advance(absl::Milliseconds(50));
        gateway::Pulse pulse;
        pulse.sentAt = ++m_pulses;
        pulse.echo = absl::ToUnixNanos(timers.now() - absl::Milliseconds(20));
        pulse.topics = {{gateway::Topic::BackendServers, revision, confirmedAgo}};
        const core::Expected<gateway::FleetMessage> arrived = net::decodeFleetMessage(net::encodeFleetMessage(pulse));
        REQUIRE(arrived);
        gateway.received(PEER, *arrived);
    }

private:
    std::int64_t m_pulses = 0;
};

} // namespace

// Guards against a removed backend server that stays in use because its removal lies between the pages of a reading (DRAIN).
TEST_CASE("a reading whose pages differ in age is not confirmed before a change between them is known")
{
    MixedPagesFixture fixture;
    // s1 was removed at 103. The peer knows that, and the record at 104.
    fixture.hear(104);
    CHECK(fixture.gateway.isUnconfirmed(gateway::Topic::BackendServers));
    CHECK(fixture.gateway.shouldWatch(gateway::Topic::BackendServers));
    const std::vector<gateway::RecordsRequest> asked = fixture.links.all<gateway::RecordsRequest>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0] == gateway::RecordsRequest{gateway::Topic::BackendServers, 102});
    // An update that follows the record at 104 does not bring the removal either.
    fixture.gateway.received(
        PEER, gateway::RecordsUpdate{gateway::Topic::BackendServers, 104, 107, {{"s3", MixedPagesFixture::recordOf("s3", 107).value, 107}}});
    CHECK(fixture.gateway.revision(gateway::Topic::BackendServers) == 102);
    const bool isToldByPeer = GENERATE(true, false);
    if (isToldByPeer) {
        fixture.gateway.received(PEER,
            gateway::RecordsTransfer{gateway::Topic::BackendServers, 107, {MixedPagesFixture::recordOf("s2", 104), MixedPagesFixture::recordOf("s3", 107)}});
        fixture.hear(107);
    } else {
        fixture.gateway.topicChanged(
            gateway::Topic::BackendServers, {{"s1", std::nullopt, 103}, {"s2", MixedPagesFixture::recordOf("s2", 104).value, 104}}, 107, fixture.timers.now());
    }
    CHECK_FALSE(fixture.gateway.isUnconfirmed(gateway::Topic::BackendServers));
    CHECK_FALSE(fixture.gateway.hasRecord(gateway::Topic::BackendServers, "s1"));
    for (int request = 0; request < 8; ++request) {
        fixture.ask("/once/x");
        CHECK(fixture.lastRun().server != core::BackendServerId("s1"));
    }
}

// Guards against instances that start together and take each other's old readings for confirmed ones (DRAIN).
TEST_CASE("an instance whose own reading was never confirmed confirms none")
{
    MixedPagesFixture fixture;
    fixture.hear(102, absl::InfiniteDuration());
    CHECK(fixture.gateway.isUnconfirmed(gateway::Topic::BackendServers));
    CHECK_FALSE(fixture.gateway.isReady());
    fixture.hear(102, absl::Seconds(1));
    CHECK_FALSE(fixture.gateway.isUnconfirmed(gateway::Topic::BackendServers));
}

// Guards against a record that disappears because of a reading that is older than the record.
TEST_CASE("a record that is newer than a reading stays in the copy")
{
    core::VirtualTimerService timers;
    gateway::RecordMirror mirror(timers);
    mirror.replace({{"a", "1", 5}, {"b", "1", 20}}, 10);
    CHECK(mirror.replace({}, 15) == std::vector<gateway::RecordChange>{{"a", std::nullopt, 15}});
    CHECK(mirror.find("b") != nullptr);
    CHECK(mirror.revision() == 15);
    CHECK(mirror.apply({{"b", std::nullopt, 22}}, 23).size() == 1);
}

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(20);
constexpr std::size_t PAGE_RECORDS = 6;
/** Oldest page of a read that may be old. */
constexpr absl::Duration MAX_PAGE_AGE = absl::Seconds(10);
constexpr absl::Duration MAX_MESSAGE_TIME = absl::Milliseconds(150);
const std::string NO_VIOLATION;

/** History of the records of the backend servers. A key is written again only by its own later incarnation, under another key. */
class DrawnStore
{
public:
    void write(const std::string &key, bool isPresent, absl::Time now)
    {
        ++m_revision;
        m_changes.push_back(
            {{key, isPresent ? std::optional<std::string>(nlohmann::json(GatewayFixture::server(key)).dump()) : std::nullopt, m_revision}, now});
    }

    /** What the store held at a time, and its revision then. */
    std::map<std::string, gateway::Record> stateAt(absl::Time time, core::Revision &revision) const
    {
        std::map<std::string, gateway::Record> state;
        revision = 1;
        for (const auto &[change, at] : m_changes) {
            if (at > time) {
                break;
            }
            revision = change.revision;
            if (change.value.has_value()) {
                state[change.key] = {change.key, *change.value, change.revision};
            } else {
                state.erase(change.key);
            }
        }
        return state;
    }

    std::vector<gateway::RecordChange> changesAfter(core::Revision revision) const
    {
        std::vector<gateway::RecordChange> later;
        for (const auto &[change, at] : m_changes) {
            if (change.revision > revision) {
                later.push_back(change);
            }
        }
        return later;
    }

    core::Revision revision() const
    {
        return m_revision;
    }

private:
    core::Revision m_revision = 1;
    std::vector<std::pair<gateway::RecordChange, absl::Time>> m_changes;
};

/** Instances of one data centre that start at drawn times and read pages of drawn ages. Messages take drawn times, in order on each link. */
class DrawnFleet
{
public:
    DrawnFleet(std::uint64_t seed, int size)
        : m_random(seed)
    {
        for (int index = 0; index < 14; ++index) {
            add();
        }
        timers.advance(MAX_PAGE_AGE);
        for (int index = 0; index < size; ++index) {
            m_instances.push_back(std::make_unique<Instance>(*this, index));
        }
        for (const std::unique_ptr<Instance> &one : m_instances) {
            for (const std::unique_ptr<Instance> &other : m_instances) {
                if (one != other) {
                    one->gateway.linkUp(other->self);
                }
            }
        }
    }

    /** Plays some time; the store changes only if told so. Returns what was violated. */
    std::string play(absl::Duration time, bool isChanging)
    {
        const absl::Time end = timers.now() + time;
        while (timers.now() < end) {
            if (isChanging && draw(0, 1) < 0.08) {
                draw(0, 1) < 0.5 ? add() : removeOne();
            }
            timers.advance(STEP);
            deliver();
            for (const std::unique_ptr<Instance> &instance : m_instances) {
                follow(*instance);
                std::string violation = check(*instance);
                if (!violation.empty()) {
                    return violation;
                }
            }
        }
        return {};
    }

    /** Keys in which an instance's copy and the store differ. */
    std::string difference()
    {
        std::string keys;
        core::Revision revision = 0;
        const std::map<std::string, gateway::Record> state = store.stateAt(timers.now(), revision);
        for (const std::unique_ptr<Instance> &instance : m_instances) {
            for (int number = 0; number < m_written; ++number) {
                const std::string key = keyOf(number);
                if (instance->gateway.hasRecord(gateway::Topic::BackendServers, key) != (state.count(key) != 0)) {
                    absl::StrAppend(&keys, instance->self.id.value(), ":", key, " ");
                }
            }
        }
        return keys;
    }

    std::size_t requests() const
    {
        return m_requests;
    }

    int reads = 0;
    int watches = 0;

private:
    struct Instance;

    struct Links : gateway::FleetLinks
    {
        Links(DrawnFleet &fleet, core::InstanceId owner)
            : m_fleet(fleet),
              m_owner(std::move(owner))
        {
        }

        bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override
        {
            m_fleet.m_requests += std::holds_alternative<gateway::RecordsRequest>(message) ? 1 : 0;
            absl::Time &arrives = m_arrivals[to];
            arrives = std::max(arrives, m_fleet.timers.now() + m_fleet.draw(0, 1) * MAX_MESSAGE_TIME);
            m_fleet.m_messages.insert({arrives, {m_owner, to, net::encodeFleetMessage(message)}});
            return true;
        }

        void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
        {
            for (const core::InstanceId &instance : to) {
                send(instance, message);
            }
        }

        DrawnFleet &m_fleet;
        core::InstanceId m_owner;
        std::map<core::InstanceId, absl::Time> m_arrivals;
    };

    struct Instance
    {
        Instance(DrawnFleet &fleet, int index)
            : self(GatewayFixture::member(absl::StrCat("gw-", index), "north")),
              links(fleet, self.id),
              gateway(settings(self), gateway::GatewayPorts{fleet.timers, fleet.m_headers, fleet.m_records, runs, links, journal}),
              startsAt(fleet.timers.now() + fleet.draw(0, 1) * absl::Seconds(3))
        {
        }

        static gateway::GatewaySettings settings(const gateway::Member &self)
        {
            gateway::GatewaySettings settings = GatewayFixture::settings();
            settings.self = self;
            settings.flow.seed = std::hash<std::string>{}(self.id.value());
            return settings;
        }

        gateway::Member self;
        FakeRuns runs;
        FakeJournal journal;
        Links links;
        gateway::Gateway gateway;
        absl::Time startsAt;
        bool hasRead = false;
        /** Time of the next call; the answer of one that waits comes with a change or at its end. */
        absl::Time callsAt;
        std::optional<core::Revision> watched;
        absl::Time watchedAt;
        absl::Duration wait;
        /** Keys that the copy has held and does not hold any more. */
        std::set<std::string> gone;
        std::set<std::string> held;
    };

    struct Message
    {
        core::InstanceId from;
        core::InstanceId to;
        std::string bytes;
    };

    double draw(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    static std::string keyOf(int number)
    {
        // Keys in an order other than that of their writing.
        return absl::StrCat("s", (number * 37) % 101, "-", number);
    }

    void add()
    {
        m_present.push_back(keyOf(m_written++));
        store.write(m_present.back(), true, timers.now());
    }

    void removeOne()
    {
        if (m_present.empty()) {
            return;
        }
        const std::size_t index = static_cast<std::size_t>(draw(0, static_cast<double>(m_present.size()) - 0.001));
        store.write(m_present[index], false, timers.now());
        m_present.erase(m_present.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= timers.now()) {
            const Message message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            const core::Expected<gateway::FleetMessage> decoded = net::decodeFleetMessage(message.bytes);
            for (const std::unique_ptr<Instance> &instance : m_instances) {
                if (decoded && instance->self.id == message.to) {
                    instance->gateway.received(message.from, *decoded);
                }
            }
        }
    }

    /** Reads pages of drawn ages once, and then waits for changes as long as the gateway wants it. */
    void follow(Instance &instance)
    {
        const absl::Time now = timers.now();
        if (now < instance.startsAt || now < instance.callsAt) {
            return;
        }
        if (!std::exchange(instance.hasRead, true)) {
            readPages(instance);
            return;
        }
        if (!instance.watched.has_value()) {
            if (!instance.gateway.shouldWatch(gateway::Topic::BackendServers)) {
                instance.callsAt = now + absl::Milliseconds(200);
                return;
            }
            ++watches;
            instance.watched = instance.gateway.revision(gateway::Topic::BackendServers);
            instance.watchedAt = now;
            instance.wait = instance.gateway.isUnconfirmed(gateway::Topic::BackendServers) ? absl::ZeroDuration() : absl::Seconds(2);
        }
        const std::vector<gateway::RecordChange> changes = store.changesAfter(*instance.watched);
        if (changes.empty() && now < instance.watchedAt + instance.wait) {
            return;
        }
        instance.watched.reset();
        instance.gateway.topicChanged(gateway::Topic::BackendServers, changes, store.revision(), instance.watchedAt);
        instance.callsAt = now + absl::Milliseconds(500);
    }

    void readPages(Instance &instance)
    {
        ++reads;
        std::vector<gateway::Record> records;
        std::optional<core::Revision> position;
        std::string after;
        bool hasMore = true;
        while (hasMore) {
            const std::vector<absl::Duration> ages = {absl::ZeroDuration(), absl::Milliseconds(100), absl::Seconds(1), absl::Seconds(3), MAX_PAGE_AGE};
            core::Revision asOf = 0;
            const absl::Duration age = ages[static_cast<std::size_t>(draw(0, 4.999))];
            const std::map<std::string, gateway::Record> state = store.stateAt(timers.now() - age, asOf);
            std::size_t count = 0;
            auto it = state.upper_bound(after);
            for (; it != state.end() && count < PAGE_RECORDS; ++it, ++count) {
                records.push_back(it->second);
                after = it->first;
            }
            hasMore = it != state.end() && count > 0;
            position = std::min(position.value_or(asOf), asOf);
        }
        instance.gateway.topicRead(gateway::Topic::BackendServers, records, *position, absl::InfinitePast());
        instance.callsAt = timers.now() + absl::Milliseconds(300);
    }

    std::string check(Instance &instance)
    {
        std::set<std::string> held;
        for (int number = 0; number < m_written; ++number) {
            const std::string key = keyOf(number);
            if (!instance.gateway.hasRecord(gateway::Topic::BackendServers, key)) {
                continue;
            }
            if (instance.gone.count(key) != 0) {
                return absl::StrCat(instance.self.id.value(), " holds ", key, " again");
            }
            held.insert(key);
        }
        for (const std::string &key : instance.held) {
            if (held.count(key) == 0) {
                instance.gone.insert(key);
            }
        }
        instance.held = held;
        return checkConfirmed(instance);
    }

    /** A copy that counts as confirmed at a time holds nothing that was removed by then, and all that was there since. */
    std::string checkConfirmed(Instance &instance)
    {
        for (const gateway::Reading &reading : instance.gateway.readings()) {
            if (reading.name != "topic_age_seconds" || reading.label != "backend_servers" || reading.value < 0) {
                continue;
            }
            core::Revision confirmed = 0;
            const std::map<std::string, gateway::Record> state = store.stateAt(timers.now() - absl::Seconds(reading.value) - absl::Microseconds(1), confirmed);
            core::Revision revision = 0;
            const std::map<std::string, gateway::Record> present = store.stateAt(timers.now(), revision);
            for (const std::string &key : instance.held) {
                if (state.count(key) == 0 && present.count(key) == 0 && wasThereBefore(key, confirmed)) {
                    return absl::StrCat(instance.self.id.value(), " holds ", key, ", which was removed before the confirmation");
                }
            }
            for (const auto &entry : state) {
                if (present.count(entry.first) != 0 && instance.held.count(entry.first) == 0) {
                    return absl::StrCat(instance.self.id.value(), " lacks ", entry.first, ", which was there at the confirmation");
                }
            }
        }
        return {};
    }

    /** Whether a key was written up to a revision. */
    bool wasThereBefore(const std::string &key, core::Revision revision) const
    {
        for (const gateway::RecordChange &change : store.changesAfter(0)) {
            if (change.key == key && change.revision <= revision) {
                return true;
            }
        }
        return false;
    }

public:
    core::VirtualTimerService timers;
    DrawnStore store;

private:
    std::mt19937_64 m_random;
    FakeHeaders m_headers;
    FakeRecords m_records;
    std::vector<std::string> m_present;
    int m_written = 0;
    std::size_t m_requests = 0;
    std::multimap<absl::Time, Message> m_messages;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

} // namespace

// Guards against a copy that counts as current although a change is missing in it, in whichever order pages, watches, pulses, updates and transfers come.
TEST_CASE("copies of drawn histories never count as current without a change, never go back, and agree with the store in the end")
{
    const int size = GENERATE(1, 3, 8);
    for (const std::uint64_t seed : testing::seeds(12)) {
        INFO("seed " << seed << ", instances " << size);
        DrawnFleet fleet(seed, size);
        CHECK(fleet.play(absl::Seconds(12), true) == NO_VIOLATION);
        // Without changes: a confirmation is 1.8 s old at most, or the instance asks for the topic.
        CHECK(fleet.play(absl::Seconds(4), false) == NO_VIOLATION);
        CHECK(fleet.difference() == NO_VIOLATION);
        // One read for each instance, and no loop of requests between them.
        CHECK(fleet.reads == size);
        CHECK(fleet.requests() <= static_cast<std::size_t>(size) * 20);
    }
}
