#include "snipeferry/platform/platformclient.h"

#include "support/fakeplatform.h"
#include "support/loopthread.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

using namespace snipeferry;

namespace {

constexpr absl::Duration WAIT = absl::Seconds(20);

/** Collects what a client posts; waits on conditions, not on time. */
class Mailbox
{
public:
    messages::EventSink sink()
    {
        return [this](messages::Event event) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_events.push_back(std::move(event));
            m_changed.notify_all();
        };
    }

    template<typename Predicate>
    bool waitFor(Predicate predicate)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, absl::ToChronoNanoseconds(WAIT), [&] { return predicate(m_events); });
    }

    platform::Reply reply(platform::CallId id)
    {
        platform::Reply found;
        const bool hasReply = waitFor([&](const std::vector<messages::Event> &events) {
            for (const messages::Event &event : events) {
                const messages::PlatformReplied *replied = std::get_if<messages::PlatformReplied>(&event);
                if (replied != nullptr && replied->reply.id == id) {
                    found = replied->reply;
                    return true;
                }
            }
            return false;
        });
        REQUIRE(hasReply);
        return found;
    }

    bool waitForValue(const std::string &key, const std::optional<std::string> &value)
    {
        return waitFor([&](const std::vector<messages::Event> &events) {
            std::optional<std::string> last = "not seen";
            for (const messages::Event &event : events) {
                const messages::PlatformWatched *watched = std::get_if<messages::PlatformWatched>(&event);
                if (watched != nullptr && watched->event.key == key) {
                    last = watched->event.value;
                }
            }
            return last == value;
        });
    }

    std::vector<messages::Event> events()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_events;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<messages::Event> m_events;
};

/** A client on an event loop of its own. */
class LoopClient
{
public:
    LoopClient(const platform::PlatformSettings &settings, const messages::EventSink &sink)
    {
        m_thread.call([&] { m_client = std::make_unique<platform::PlatformClient>(m_thread.loop(), settings, sink); });
    }

    ~LoopClient()
    {
        m_thread.call([this] { m_client.reset(); });
    }

    void start()
    {
        m_thread.call([this] { m_client->start(); });
    }

    void call(const platform::Call &call)
    {
        m_thread.call([&] { m_client->call(call); });
    }

    std::vector<platform::CallCount> callCounts()
    {
        return m_thread.call([this] { return m_client->callCounts(); });
    }

private:
    testing::LoopThread m_thread;
    std::unique_ptr<platform::PlatformClient> m_client;
};

platform::PlatformSettings settingsFor(const std::vector<int> &ports)
{
    platform::PlatformSettings settings;
    for (const int port : ports) {
        settings.endpoints.push_back("127.0.0.1:" + std::to_string(port));
    }
    return settings;
}

platform::Transaction put(const std::string &key, const std::string &value)
{
    return {{}, {{key, value, 0}}};
}

/** A port on which nobody listens. */
int closedPort()
{
    standins::FakePlatform platform;
    const int port = platform.start(0);
    platform.stop();
    return port;
}

const std::string WATCHED_KEY = std::string(platform::ROLLOUT_PREFIX) + "r1";

} // namespace

TEST_CASE("platform client: transactions, reads and leases over the gateway")
{
    standins::FakePlatform platform;
    Mailbox mailbox;
    LoopClient client(settingsFor({platform.start(0)}), mailbox.sink());
    client.start();
    const std::string binary("\0\xff\x01", 3);
    client.call({1, platform::Transaction{{{"/a", 0}}, {{"/a", binary, 0}}}});
    const platform::Reply created = mailbox.reply(1);
    CHECK(created.outcome == platform::Outcome::Answered);
    CHECK(created.succeeded);

    client.call({2, platform::Transaction{{{"/a", 0}}, {{"/a", "other", 0}}}});
    const platform::Reply refused = mailbox.reply(2);
    CHECK_FALSE(refused.succeeded);
    REQUIRE(refused.values.size() == 1);
    CHECK(refused.values.front() == platform::KeyValue{"/a", binary, 1});

    client.call({3, platform::Read{"/", true}});
    CHECK(mailbox.reply(3).values.size() == 1);
    client.call({4, platform::LeaseGrant{absl::Seconds(60)}});
    const platform::Reply granted = mailbox.reply(4);
    CHECK(granted.succeeded);
    client.call({5, platform::LeaseKeepAlive{granted.leaseId}});
    CHECK(mailbox.reply(5).succeeded);
    client.call({6, platform::LeaseKeepAlive{granted.leaseId + 1}});
    const platform::Reply lapsed = mailbox.reply(6);
    CHECK(lapsed.outcome == platform::Outcome::Answered);
    CHECK_FALSE(lapsed.succeeded);
}

TEST_CASE("platform client: a call that cannot connect is not sent, one whose answer is lost is unknown")
{
    standins::FakePlatform platform;
    const int port = platform.start(0);
    Mailbox mailbox;
    LoopClient unreachable(settingsFor({closedPort()}), mailbox.sink());
    unreachable.start();
    unreachable.call({1, put("/a", "x")});
    CHECK(mailbox.reply(1).outcome == platform::Outcome::NotSent);

    platform::PlatformSettings settings = settingsFor({port});
    settings.watchedPrefixes.clear();
    settings.watchesDirectory = false;
    LoopClient client(settings, mailbox.sink());
    client.start();
    platform.setFaults(R"({"lose_next": 1})");
    client.call({2, put("/b", "x")});
    CHECK(mailbox.reply(2).outcome == platform::Outcome::Unknown);
    client.call({3, platform::Read{"/b", false}});
    CHECK(mailbox.reply(3).values.size() == 1);
}

TEST_CASE("platform client: a slow platform's calls end within their timeout, and queued ones are never sent afterwards")
{
    standins::FakePlatform platform;
    platform::PlatformSettings settings = settingsFor({platform.start(0)});
    settings.watchedPrefixes.clear();
    settings.watchesDirectory = false;
    settings.workers = 1;
    settings.maxPendingCalls = 2;
    Mailbox mailbox;
    LoopClient client(settings, mailbox.sink());
    client.start();
    platform.setFaults(R"({"delay_ms": 600})");
    const absl::Time begin = absl::Now();
    for (platform::CallId id = 1; id <= 6; ++id) {
        client.call({id, put("/" + std::to_string(id), "x"), absl::Milliseconds(200)});
    }
    std::set<platform::CallId> notSent;
    for (platform::CallId id = 1; id <= 6; ++id) {
        const platform::Outcome outcome = mailbox.reply(id).outcome;
        CHECK(outcome != platform::Outcome::Answered);
        if (outcome == platform::Outcome::NotSent) {
            notSent.insert(id);
        }
    }
    CHECK(absl::Now() - begin < absl::Seconds(5));
    CHECK_FALSE(notSent.empty());

    // What was reported as not sent has no effect, also later.
    platform.setFaults(R"({"delay_ms": 0})");
    client.call({10, platform::Read{"/", true}});
    for (const platform::KeyValue &value : mailbox.reply(10).values) {
        CHECK(notSent.count(std::stoull(value.key.substr(1))) == 0);
    }
    for (const platform::CallCount &count : client.callCounts()) {
        CHECK(count.sent <= 7);
    }
}

TEST_CASE("platform client: another endpoint takes over when one cannot be reached")
{
    standins::FakePlatform platform;
    const int port = platform.start(0);
    Mailbox mailbox;
    LoopClient client(settingsFor({closedPort(), port}), mailbox.sink());
    client.start();
    client.call({1, put(WATCHED_KEY, "x")});
    CHECK(mailbox.reply(1).outcome == platform::Outcome::Answered);
    CHECK(mailbox.waitForValue(WATCHED_KEY, "x"));
}

TEST_CASE("platform client: after a gap the watch catches up, deletions included, and never goes back")
{
    standins::FakePlatform platform;
    Mailbox mailbox;
    LoopClient client(settingsFor({platform.start(0)}), mailbox.sink());
    client.start();
    const std::string otherKey = WATCHED_KEY + "-other";
    platform.load(nlohmann::json({{WATCHED_KEY, "1"}, {otherKey, "1"}}).dump());
    REQUIRE(mailbox.waitForValue(WATCHED_KEY, "1"));
    REQUIRE(mailbox.waitForValue(otherKey, "1"));

    // Changes during an outage are seen after it, though reads lag behind at first.
    platform.setFaults(R"({"remember": true, "down": true, "stale_reads": true})");
    platform.load(nlohmann::json({{WATCHED_KEY, "2"}, {otherKey, nullptr}}).dump());
    platform.setFaults(R"({"down": false})");
    platform.load(nlohmann::json({{WATCHED_KEY, "3"}}).dump());
    CHECK(mailbox.waitForValue(WATCHED_KEY, "3"));
    platform.setFaults(R"({"stale_reads": false})");
    CHECK(mailbox.waitForValue(otherKey, std::nullopt));

    std::map<std::string, std::int64_t> latest;
    for (const messages::Event &event : mailbox.events()) {
        if (const messages::PlatformWatched *watched = std::get_if<messages::PlatformWatched>(&event)) {
            CHECK(watched->event.modRevision > latest[watched->event.key]);
            latest[watched->event.key] = watched->event.modRevision;
        }
    }
}

TEST_CASE("platform client: the directory and the instance list are sent as snapshots and an entry that is no valid JSON is omitted")
{
    standins::FakePlatform platform;
    Mailbox mailbox;
    LoopClient client(settingsFor({platform.start(0)}), mailbox.sink());
    client.start();
    platform::BackendServer server;
    server.id = core::BackendServerId("b1");
    server.address = "127.0.0.1:1";
    platform::ListedInstance instance;
    instance.id = core::InstanceId("i1");
    platform.load(
        nlohmann::json({{std::string(platform::DIRECTORY_PREFIX) + "b1", nlohmann::json(server)}, {std::string(platform::DIRECTORY_PREFIX) + "b2", "broken"},
                           {std::string(platform::INSTANCE_LIST_PREFIX) + "i1", nlohmann::json(instance)}})
            .dump());
    const bool isSeen = mailbox.waitFor([&](const std::vector<messages::Event> &events) {
        for (const messages::Event &event : events) {
            const messages::DirectoryChanged *changed = std::get_if<messages::DirectoryChanged>(&event);
            const platform::DirectorySnapshot wanted{{server}, {instance}};
            if (changed != nullptr && changed->snapshot == wanted) {
                return true;
            }
        }
        return false;
    });
    CHECK(isSeen);
}
