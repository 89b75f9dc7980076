#include "snipeferry/net/storeclient.h"

#include "gateway/fixture.h"
#include "recordcodec.h"
#include "scriptedserver.h"
#include "storeformat.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration TURN = absl::Milliseconds(10);
constexpr absl::Duration LIMIT = absl::Seconds(8);

/** How the stand-in of the store misbehaves on calls for changes, until it has done so often enough. */
enum class Fault {
    None,
    Silent,
    Reset,
    Busy,
    TooMany,
    HistoryGone,
    NoJson,
};

/** The platform's store as far as one gateway needs it: one backend server is announced, and calls are counted. */
struct StoreStandIn
{
    explicit StoreStandIn(net::EventLoop &loop)
        : server(loop, [this](int, const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read) { answer(socket, read); })
    {
    }

    void answer(const std::shared_ptr<ScriptedServer::Socket> &socket, const std::string &read)
    {
        // The last request on the connection; each fits in one read.
        const std::size_t get = read.rfind("GET /api/");
        const std::size_t post = read.rfind("POST /api/");
        const std::size_t begin = get == std::string::npos ? post : post == std::string::npos ? get : std::max(get, post);
        const std::string call = read.substr(begin, read.find('\r', begin) - begin);
        if (absl::StrContains(call, "kv-range")) {
            ++reads;
            oldReads += absl::StrContains(call, "allowStale=1") ? 1 : 0;
            oldOperatorReads += absl::StrContains(call, "prefix=op/&allowStale") ? 1 : 0;
            const bool isServers = absl::StrContains(call, "prefix=servers/");
            const std::string items
                = isServers ? absl::StrCat(R"({"key":"servers/)", announced, R"(","value":")", absl::Base64Escape(SERVER), R"(","rev":2})") : std::string();
            reply(socket, 200, absl::StrCat(R"({"items":[)", items, R"(],"morePages":false,"asOf":)", revision, "}"));
        } else if (absl::StrContains(call, "kv-watch")) {
            const std::size_t after = call.find("after=") + 6;
            if (std::stoll(call.substr(after)) > revision) {
                reply(socket, 410, "{}");
                return;
            }
            const std::size_t prefix = call.find("prefix=") + 7;
            const std::size_t wait = call.find("waitMs=") + 7;
            waits[call.substr(prefix, call.find('&', prefix) - prefix)].push_back(call.substr(wait, call.find(' ', wait) - wait));
            watch(socket);
        } else if (absl::StrContains(call, "kv-lease")) {
            ++leases;
            reply(socket, 200, R"({"lease":77,"ttlMs":9000})");
        } else if (absl::StrContains(call, "kv-keep")) {
            ++renewals;
            reply(socket, isLeaseLost ? 404 : 200, R"({"ttlMs":9000})");
            isLeaseLost = false;
        } else {
            ++writes;
            reply(socket, 200, R"({"rev":6})");
        }
    }

    void watch(const std::shared_ptr<ScriptedServer::Socket> &socket)
    {
        ++watches;
        boost::system::error_code ignored;
        if (faultsLeft-- <= 0 || fault == Fault::None) {
            // A waiting call is never answered by this stand-in; the client's own limit ends it.
            return;
        }
        switch (fault) {
        case Fault::Reset:
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
            return;
        case Fault::Busy:
            return reply(socket, 503, "{}");
        case Fault::TooMany:
            return reply(socket, 429, "{}");
        case Fault::HistoryGone:
            return reply(socket, 410, "{}");
        case Fault::NoJson:
            return reply(socket, 200, "\xff{");
        default:
            return;
        }
    }

    /** Comes back from a copy that announces another backend server and has a lower revision. */
    void restore()
    {
        era = std::to_string(std::stoi(era) + 1);
        announced = "i-2";
        revision = 3;
    }

    void reply(const std::shared_ptr<ScriptedServer::Socket> &socket, int status, const std::string &body) const
    {
        const std::string header = era.empty() ? std::string() : absl::StrCat("Store-Era: ", era, "\r\n");
        ScriptedServer::send(socket, absl::StrCat("HTTP/1.1 ", status, " X\r\n", header, "Content-Length: ", body.size(), "\r\n\r\n", body));
    }

    static constexpr const char *SERVER
        = R"({"service":"booking","address":"10.0.0.1:80","zone":"north-1","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"callSeq":1})";

    ScriptedServer server;
    /** Text of the header that names the store's era; empty for none. */
    std::string era;
    std::int64_t revision = 5;
    /** The backend server that is announced. */
    std::string announced = "i-1";
    Fault fault = Fault::None;
    int faultsLeft = 0;
    bool isLeaseLost = false;
    int reads = 0;
    int oldReads = 0;
    int oldOperatorReads = 0;
    int watches = 0;
    /** Waits of the calls for changes by prefix, in milliseconds. */
    std::map<std::string, std::vector<std::string>> waits;
    int leases = 0;
    int renewals = 0;
    int writes = 0;
};

struct StoreFixture
{
    StoreFixture()
        : gateway(GatewayFixture::settings(), gateway::GatewayPorts{loop.timers(), headers, records, runs, links, journal}),
          client(loop, settings(store.server.address()), format, records, gateway, journal)
    {
    }

    static net::StoreClientSettings settings(const std::string &address)
    {
        net::StoreClientSettings settings;
        settings.address = address;
        settings.operatorWait = absl::Milliseconds(60);
        settings.backendServerWait = absl::Milliseconds(60);
        settings.memberWait = absl::Milliseconds(60);
        settings.answerTimeout = absl::Milliseconds(60);
        settings.renewPeriod = absl::Milliseconds(50);
        return settings;
    }

    void start()
    {
        client.start({"snipeferry/members/gw-1", "{}", 0});
    }

    /** Runs until a condition holds; false after a limit. */
    bool until(const std::function<bool()> &condition)
    {
        const absl::Time end = loop.timers().now() + LIMIT;
        while (!condition() && loop.timers().now() < end) {
            loop.resume();
            const core::Subscription stop = loop.timers().after(TURN, [this] { loop.stop(); });
            loop.run();
        }
        return condition();
    }

    net::EventLoop loop;
    StoreStandIn store{loop};
    FakeHeaders headers;
    fleetplatform::RecordCodec records;
    fleetplatform::StoreFormat format;
    FakeRuns runs;
    FakeLinks links;
    FakeJournal journal;
    gateway::Gateway gateway;
    net::StoreClient client;
};

} // namespace

TEST_CASE("all topics are read at the start, and the instance is announced")
{
    StoreFixture fixture;
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.writes == 1 && fixture.gateway.revision(gateway::Topic::Members) == 5; }));
    CHECK(fixture.store.reads == 3);
    // The first reading of servers and instances may be some seconds old and costs a tenth; the operator's word may not.
    CHECK(fixture.store.oldReads == 2);
    CHECK(fixture.store.oldOperatorReads == 0);
    CHECK(fixture.store.leases == 1);
    CHECK(fixture.gateway.hasRecord(gateway::Topic::BackendServers, "servers/i-1"));
}

TEST_CASE("calls for changes go on after every kind of bad answer")
{
    const Fault fault = GENERATE(Fault::Silent, Fault::Reset, Fault::Busy, Fault::TooMany, Fault::NoJson);
    StoreFixture fixture;
    fixture.store.fault = fault;
    fixture.store.faultsLeft = 3;
    fixture.start();
    CHECK(fixture.until([&] { return fixture.store.watches >= 7; }));
}

// Guards against an instance that does not learn soon whether the store works, and takes a call that was closed for an outage (DRAIN).
TEST_CASE("after a failed call for changes the next one asks for an answer at once")
{
    const Fault fault = GENERATE(Fault::Silent, Fault::Reset, Fault::Busy, Fault::TooMany);
    StoreFixture fixture;
    fixture.store.fault = fault;
    fixture.store.faultsLeft = 3;
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.waits["op/"].size() >= 2; }));
    CHECK(fixture.store.waits["op/"][0] == "60");
    CHECK(fixture.store.waits["op/"][1] == "1");
}

// Guards against a first reading, which may be seconds old, that counts as a confirmed one (DRAIN, FAILBACK, LIMIT).
TEST_CASE("the changes since a first reading that may be old are asked for at once")
{
    StoreFixture fixture;
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.waits.size() == 3; }));
    for (const auto &topic : fixture.store.waits) {
        INFO(topic.first);
        CHECK(topic.second.front() == (topic.first == "op/" ? "60" : "1"));
    }
    CHECK(fixture.gateway.isUnconfirmed(gateway::Topic::BackendServers));
    CHECK(fixture.gateway.isUnconfirmed(gateway::Topic::Members));
}

TEST_CASE("a store without history is read afresh")
{
    StoreFixture fixture;
    fixture.store.fault = Fault::HistoryGone;
    fixture.store.faultsLeft = 2;
    fixture.start();
    CHECK(fixture.until([&] { return fixture.store.reads >= 5; }));
    CHECK(fixture.store.oldReads == 2);
}

// Guards against a copy that never goes back, and so follows neither the store's older state nor what is written after it (CONFIG, DENIED, HOME).
TEST_CASE("a store that came back from a copy is followed, and read once for each topic")
{
    StoreFixture fixture;
    fixture.store.era = "4";
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.writes >= 1 && fixture.store.watches > 3; }));
    const int readsBefore = fixture.store.reads;
    fixture.store.restore();
    CHECK(fixture.until([&] { return fixture.gateway.hasRecord(gateway::Topic::BackendServers, "servers/i-2"); }));
    // What this instance wrote there is gone, and its lease may belong to another one.
    CHECK(fixture.until([&] { return fixture.store.leases >= 2 && fixture.store.writes >= 2; }));
    const int watches = fixture.store.watches;
    CHECK(fixture.until([&] { return fixture.store.watches > watches + 9; }));
    CHECK(fixture.store.reads == readsBefore + 3);
    // A second return at once.
    fixture.store.restore();
    fixture.store.announced = "i-3";
    CHECK(fixture.until([&] { return fixture.gateway.hasRecord(gateway::Topic::BackendServers, "servers/i-3"); }));
}

// Guards against a loop of calls, or an end of the process, because the era's header is missing, unreadable, doubled or falls.
TEST_CASE("an era that cannot be used leads to no loop of full reads")
{
    const std::string odd = GENERATE("", "many", "3", "-1", "5\r\nStore-Era: 6");
    StoreFixture fixture;
    fixture.store.era = "4";
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.writes >= 1 && fixture.store.watches > 3; }));
    const int reads = fixture.store.reads;
    const int watches = fixture.store.watches;
    fixture.store.era = odd;
    fixture.until([&] { return fixture.store.watches > watches + 30; });
    CHECK(fixture.store.reads == reads);
    // An earlier era may only be an answer that was under way. The next sound one is followed.
    fixture.store.era = "4";
    fixture.store.restore();
    CHECK(fixture.until([&] { return fixture.gateway.hasRecord(gateway::Topic::BackendServers, "servers/i-2"); }));
}

TEST_CASE("a lease that ended is opened again, and the announcement written again")
{
    StoreFixture fixture;
    fixture.store.isLeaseLost = true;
    fixture.start();
    CHECK(fixture.until([&] { return fixture.store.leases >= 2 && fixture.store.writes >= 2; }));
}

TEST_CASE("a decision about a rollout is stored, and another one that came first stands")
{
    StoreFixture fixture;
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.store.writes == 1; }));
    gateway::RolloutDecision decision;
    decision.order = {core::ServiceId("booking"), core::VersionId("v2"), absl::Seconds(12)};
    decision.state = gateway::RolloutState::Reverted;
    fixture.gateway.rolloutDecided().emit(decision);
    CHECK(fixture.until([&] { return fixture.store.writes >= 2; }));
}
