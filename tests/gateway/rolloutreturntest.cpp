#include "fixture.h"
#include "snipeferry/gateway/storeposition.h"

#include <set>

using namespace snipeferry;
using namespace snipeferry::tests;
using gateway::RolloutState;
using gateway::Topic;

namespace {

const core::ServiceId SERVICE("booking");
const core::VersionId OLD_VERSION("v1");
const core::VersionId NEW_VERSION("v2");
const gateway::RolloutOrder ORDER{SERVICE, NEW_VERSION, absl::Seconds(30)};
const std::string ORDER_KEY = "order:booking";
const std::string NOTICE_KEY = "rollout:booking";

/** What a returned store has of the rollout. */
enum class Copy {
    Everything,
    NoDecision,
    NoOrder
};

/** The store's records that concern rollouts. Revisions rise by one with each write. */
struct RolloutStore
{
    void put(Topic topic, const std::string &key, const std::string &value)
    {
        ++counter;
        records[topic][key] = {key, value, position()};
    }

    /** Writes a decision as StoreWriter does; nothing if another one on the same position came first. */
    void write(const gateway::RolloutDecision &decision)
    {
        const bool isFinal = decision.state == RolloutState::Completed || decision.state == RolloutState::Reverted;
        if (isFinal && !guards.insert(decision.revision).second) {
            return;
        }
        statuses.push_back(decision.state);
        if (decision.state != RolloutState::Trial) {
            const gateway::RolloutNotice notice{decision.order.service, decision.revision, decision.state, decision.order.target};
            put(Topic::Members, NOTICE_KEY, nlohmann::json(notice).dump());
        }
    }

    void order(const gateway::RolloutOrder &order)
    {
        put(Topic::Operator, ORDER_KEY, nlohmann::json(order).dump());
    }

    /** Comes back from a copy. What it has stays at its counter, in the next era. */
    void comeBack(Copy copy)
    {
        ++era;
        // The order and its decision were written last.
        counter -= static_cast<int>(copy);
        for (auto &topic : records) {
            for (auto &record : topic.second) {
                record.second.revision = gateway::positionOf(era, gateway::counterOf(record.second.revision));
            }
        }
        if (copy != Copy::Everything) {
            guards.clear();
            records[Topic::Members].erase(NOTICE_KEY);
        }
        if (copy == Copy::NoOrder) {
            records[Topic::Operator].erase(ORDER_KEY);
        }
    }

    core::Revision position() const
    {
        return gateway::positionOf(era, counter);
    }

    std::map<Topic, std::map<std::string, gateway::Record>> records;
    std::set<core::Revision> guards;
    /** What the operator was told, in order. */
    std::vector<RolloutState> statuses;
    std::int64_t era = 0;
    std::int64_t counter = 100;
};

/** A gateway that follows the store. Only backend servers of one version are announced. */
struct Follower : GatewayFixture
{
    Follower(RolloutStore &followed, const core::VersionId &version, bool readsMembersFirst = true)
        : store(followed)
    {
        gateway.rolloutDecided().subscribe([this](const gateway::RolloutDecision &decision) { decided.push_back(decision); });
        gateway::BackendServer only = server("s1");
        only.version = version;
        store.records[Topic::BackendServers]["s1"] = {"s1", nlohmann::json(only).dump(), 1};
        store.records[Topic::Operator]["deployment"] = {"deployment", nlohmann::json(deployment()).dump(), 1};
        gateway.topicRead(Topic::BackendServers, all(Topic::BackendServers), store.position(), timers.now());
        read(readsMembersFirst ? Topic::Members : Topic::Operator);
        read(readsMembersFirst ? Topic::Operator : Topic::Members);
    }

    std::vector<gateway::Record> all(Topic topic) const
    {
        std::vector<gateway::Record> records;
        for (const auto &entry : store.records[topic]) {
            records.push_back(entry.second);
        }
        return records;
    }

    /** Reads a topic, and writes what follows from it. */
    void read(Topic topic)
    {
        gateway.topicRead(topic, all(topic), store.position(), timers.now());
        for (const gateway::RolloutDecision &decision : std::exchange(decided, {})) {
            store.write(decision);
        }
    }

    void readAll()
    {
        read(Topic::Operator);
        read(Topic::Members);
        read(Topic::Operator);
    }

    /** Requests of twenty that are sent to a backend server. */
    int served()
    {
        const std::size_t before = runs.sent.size();
        for (int request = 0; request < 20; ++request) {
            const std::size_t sent = runs.sent.size();
            ask("/once/x");
            if (runs.sent.size() > sent) {
                succeed("ran");
            }
        }
        return static_cast<int>(runs.sent.size() - before);
    }

    RolloutStore &store;
    std::vector<gateway::RolloutDecision> decided;
};

/** A rollout that all instances know as decided. */
RolloutStore decidedStore(RolloutState state)
{
    RolloutStore store;
    store.order(ORDER);
    store.write({ORDER, store.position(), state, "good"});
    return store;
}

} // namespace

// Guards against a completed version that gets no requests after a start of all processes, because the store has come back since (RECOVER).
TEST_CASE("instances that start after a return of the store know what was decided on a rollout")
{
    const RolloutState state = GENERATE(RolloutState::Completed, RolloutState::Reverted, RolloutState::Abandoned);
    const Copy copy = GENERATE(Copy::Everything, Copy::NoDecision, Copy::NoOrder);
    const bool isOrderWrittenAgain = GENERATE(false, true);
    const int returns = GENERATE(1, 2);
    const bool readsMembersFirst = GENERATE(true, false);
    RolloutStore store = decidedStore(state);
    Follower running(store, NEW_VERSION);
    for (int count = 0; count < returns; ++count) {
        store.comeBack(copy);
        running.timers.advance(absl::Milliseconds(500));
        running.readAll();
        if (isOrderWrittenAgain || copy == Copy::NoOrder) {
            running.timers.advance(absl::Seconds(1));
            store.order(ORDER);
            running.readAll();
        }
    }
    REQUIRE(running.served() == (state == RolloutState::Completed ? 20 : 0));

    Follower started(store, NEW_VERSION, readsMembersFirst);
    CHECK(started.served() == (state == RolloutState::Completed ? 20 : 0));
    CHECK(store.statuses.back() == state);
    CHECK(std::count(store.statuses.begin(), store.statuses.end(), RolloutState::Trial) == 0);
}

// Guards against the same where no process was left to store the decision under the order's new position.
TEST_CASE("a decision that is stored under an earlier era of the store is on the same order")
{
    const bool isOfEarlierBuild = GENERATE(false, true);
    const bool readsMembersFirst = GENERATE(true, false);
    RolloutStore store = decidedStore(RolloutState::Completed);
    if (isOfEarlierBuild) {
        nlohmann::json notice = nlohmann::json::parse(store.records[Topic::Members][NOTICE_KEY].value);
        notice.erase("target");
        store.records[Topic::Members][NOTICE_KEY].value = notice.dump();
    }
    store.comeBack(Copy::Everything);
    if (!isOfEarlierBuild) {
        const bool isOrderWrittenAgain = GENERATE(false, true);
        if (isOrderWrittenAgain) {
            store.order(ORDER);
        }
    }
    Follower started(store, NEW_VERSION, readsMembersFirst);
    CHECK(started.served() == 20);
    CHECK(store.statuses.back() == RolloutState::Completed);
    const gateway::RolloutNotice notice = nlohmann::json::parse(store.records[Topic::Members][NOTICE_KEY].value).get<gateway::RolloutNotice>();
    CHECK(notice.order == store.records[Topic::Operator][ORDER_KEY].revision);
}

// Guards against a new order that is taken for the decided one before it, which would put an untried version in use or never try it (EXPOSURE).
TEST_CASE("an order that was not decided begins its trial after a return of the store")
{
    const RolloutState before = GENERATE(RolloutState::Completed, RolloutState::Reverted);
    const bool isToSameVersion = GENERATE(false, true);
    RolloutStore store = decidedStore(before);
    Follower running(store, OLD_VERSION);
    store.comeBack(Copy::Everything);
    running.readAll();
    // Later than an order is written again that the store had lost.
    running.timers.advance(absl::Seconds(11));
    const core::VersionId target = isToSameVersion ? NEW_VERSION : core::VersionId("v3");
    store.order({SERVICE, target, ORDER.timeLimit});
    running.readAll();
    CHECK(store.statuses.back() == RolloutState::Trial);

    // Another version at the position at which the decided order was.
    RolloutStore reused = decidedStore(before);
    reused.comeBack(Copy::Everything);
    reused.records[Topic::Operator][ORDER_KEY].value = nlohmann::json(gateway::RolloutOrder{SERVICE, core::VersionId("v3"), ORDER.timeLimit}).dump();
    Follower started(reused, OLD_VERSION);
    CHECK(reused.statuses.back() == RolloutState::Trial);
    CHECK(started.served() == 20);

    // A reverted version is tried again only if its order is another one.
    RolloutStore again = decidedStore(RolloutState::Reverted);
    again.comeBack(Copy::Everything);
    again.order(ORDER);
    Follower tried(again, OLD_VERSION);
    CHECK(again.statuses.back() == RolloutState::Trial);
}

// Guards against a reverted version that is put in use by the decision on an equal order before it (EXPOSURE).
TEST_CASE("a version that was reverted stays so, whatever was decided on an equal order before the store's return")
{
    RolloutStore store = decidedStore(RolloutState::Completed);
    Follower running(store, NEW_VERSION);
    store.order(ORDER);
    running.readAll();
    store.write({ORDER, store.records[Topic::Operator][ORDER_KEY].revision, RolloutState::Reverted, "fails"});
    running.readAll();
    REQUIRE(running.served() == 0);
    // The copy has the order, and the decision before it.
    store.comeBack(Copy::NoDecision);
    const gateway::RolloutNotice before{SERVICE, 101, RolloutState::Completed, NEW_VERSION};
    store.records[Topic::Members][NOTICE_KEY] = {NOTICE_KEY, nlohmann::json(before).dump(), gateway::positionOf(store.era, 102)};
    running.readAll();
    CHECK(running.served() == 0);
    CHECK(store.statuses.back() == RolloutState::Reverted);
}
