#include "usersfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace snipeferry;
using namespace snipeferry::testing;
using standins::StoreFault;

namespace {

/** A fault that comes three times, with its time-outs and pauses, and then a start. */
constexpr absl::Duration START_LIMIT = absl::Seconds(25);
constexpr absl::Duration PLAIN_START_LIMIT = absl::Seconds(10);
/** Bound of the users' rules for a change of the manifest. */
constexpr absl::Duration APPLY_LIMIT = absl::Seconds(3);
/** The same where something harmed the way to the store just before: a gateway is held to it again after five seconds. */
constexpr absl::Duration HARMED_APPLY_LIMIT = absl::Seconds(3 + 5);
/** The longest lease renewal period, and a call with its time-out. */
constexpr absl::Duration ANNOUNCE_LIMIT = absl::Seconds(12);

bool isAnnounced(UsersFixture &fixture)
{
    return fixture.onStandins([&] { return fixture.store().keys("snipeferry/members/").size() == 1; });
}

/** A start while the store answers one kind of call badly, twice for each way of doing so. */
void startBehind(const std::string &call)
{
    const StoreFault fault = GENERATE(StoreFault::Silent, StoreFault::Unavailable, StoreFault::TooMany, StoreFault::HistoryGone, StoreFault::NotJson,
        StoreFault::OtherTypes, StoreFault::AnswerLost, StoreFault::CarriedOutLate, StoreFault::Closed);
    CAPTURE(static_cast<int>(fault));
    UsersFixture fixture;
    fixture.onStandins([&] { fixture.store().fail(call, fault, 2); });
    fixture.startGateway();
    CHECK(fixture.servesWithin(START_LIMIT));
    CHECK(fixture.eventually([&] { return isAnnounced(fixture); }, ANNOUNCE_LIMIT));
}

} // namespace

TEST_CASE("a request of each kind is served through the platform's store, runners and operator")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    CHECK(fixture.eventually([&] { return isAnnounced(fixture); }, ANNOUNCE_LIMIT));
    const UsersAnswer answer = fixture.ask("/reserve/table");
    const std::vector<standins::RunSeen> runs = fixture.runsOf(answer.attempt);
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].request.method == "POST");
    CHECK(runs[0].request.target == "/reserve/table");
    CHECK(runs[0].request.body == "what " + answer.attempt + " asks");
    for (const gateway::Header &header : runs[0].request.headers) {
        CHECK_FALSE(absl::EqualsIgnoreCase(header.name, "Api-Key"));
        CHECK_FALSE(absl::StrContains(header.value, "k-bar"));
    }
}

TEST_CASE("the gateway starts and serves behind each bad answer to its reading of the store")
{
    startBehind("/api/kv-range");
}

TEST_CASE("the gateway starts and serves behind each bad answer to its waiting for changes")
{
    startBehind("/api/kv-watch");
}

TEST_CASE("the gateway starts and serves behind each bad answer to its writing to the store")
{
    startBehind("/api/kv-txn");
}

TEST_CASE("the gateway starts and serves behind each bad answer to its opening of a lease")
{
    startBehind("/api/kv-lease");
}

TEST_CASE("the gateway starts and serves behind each bad answer to its renewal of a lease")
{
    startBehind("/api/kv-keep");
}

TEST_CASE("a gateway that the store turns away goes on serving with what it knows, and hears of the rest when it is served again")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.onStandins([&] { fixture.store().setTurnedAway("gw-1", true); });
    absl::SleepFor(absl::Seconds(2));
    CHECK(fixture.isWhole("/stock/x", fixture.ask("/stock/x")));
    fixture.manifest.version = 5;
    fixture.manifest.hasStock = false;
    fixture.confirmManifest();
    fixture.onStandins([&] { fixture.store().setTurnedAway("gw-1", false); });
    CHECK(fixture.eventually([&] { return fixture.ask("/stock/x").answer.status == 404; }, APPLY_LIMIT));
}

TEST_CASE("a history that the store discards hides no change")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.manifest.version = 5;
    fixture.manifest.hasStock = false;
    fixture.onStandins([&] {
        fixture.store().fail("/api/kv-watch", StoreFault::HistoryGone, 6);
        fixture.store().forgetHistory();
    });
    fixture.confirmManifest();
    CHECK(fixture.eventually([&] { return fixture.ask("/stock/x").answer.status == 404; }, APPLY_LIMIT));
}

TEST_CASE("a change comes through after each harm to the connections to the store")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    SECTION("reset")
    {
        fixture.onStandins([&] { fixture.wayToStore().resetAll(); });
    }
    SECTION("silent for good, while new ones work")
    {
        fixture.onStandins([&] { fixture.wayToStore().silenceAll(); });
    }
    SECTION("bytes that are no answer")
    {
        fixture.onStandins([&] { fixture.wayToStore().harmAnswers(standins::AnswerFault::Garbage, 6); });
    }
    SECTION("answers that break off")
    {
        fixture.onStandins([&] { fixture.wayToStore().harmAnswers(standins::AnswerFault::CutShort, 6); });
    }
    SECTION("answers to somebody else behind the own ones")
    {
        fixture.onStandins([&] { fixture.wayToStore().harmAnswers(standins::AnswerFault::ForeignAnswerBehind, 6); });
    }
    SECTION("a long way")
    {
        fixture.onStandins([&] { fixture.wayToStore().setDelay(absl::Milliseconds(300)); });
    }
    fixture.manifest.version = 5;
    fixture.manifest.hasStock = false;
    fixture.confirmManifest();
    CHECK(fixture.eventually([&] { return fixture.ask("/stock/x").answer.status == 404; }, HARMED_APPLY_LIMIT));
}

TEST_CASE("entries of another writer name no runner, and the others hold")
{
    const std::string value = GENERATE(std::string("\xff\xfe"), "", "[]", "{}", R"({"service":"booking","address":7})",
        R"({"service":"booking","address":"127.0.0.1:1","zone":"north-1","version":"v1","slots":"many","state":"ready","coldLeftMs":0,"callSeq":0})",
        R"({"service":"booking","address":"127.0.0.1:1","zone":"north-1","version":"v1","slots":6,"state":"perhaps","coldLeftMs":0,"callSeq":0})",
        R"({"service":"nobody","address":"127.0.0.1:1","zone":"north-1","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"callSeq":0})");
    CAPTURE(value);
    UsersFixture fixture;
    fixture.onStandins([&] { fixture.store().put("servers/i-strange", value); });
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.onStandins([&] { fixture.store().put("servers/i-b1", value); });
    for (int i = 0; i < 6; ++i) {
        CHECK(fixture.isWhole("/reserve/x", fixture.ask("/reserve/x")));
    }
}

TEST_CASE("a key that is taken away, and a tenant that is not known, run nothing")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    CHECK(fixture.ask("/stock/x", "k-nobody").answer.status == 401);
    fixture.manifest.version = 3;
    fixture.manifest.tenants[0].keys = {"k-bar-2"};
    fixture.confirmManifest();
    CHECK(fixture.eventually([&] { return fixture.ask("/stock/x", "k-bar-1").answer.status == 401; }, APPLY_LIMIT));
    CHECK(fixture.isWhole("/stock/x", fixture.ask("/stock/x", "k-bar-2")));
}

TEST_CASE("an evacuated zone gets nothing until it is taken back")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.onStandins([&] { fixture.store().put("op/evacuate/north-1", "{}"); });
    CHECK(fixture.eventually([&] { return fixture.ask("/stock/x").answer.status == 503; }, APPLY_LIMIT));
    fixture.onStandins([&] { fixture.store().remove("op/evacuate/north-1"); });
    CHECK(fixture.eventually([&] { return fixture.isWhole("/stock/x", fixture.ask("/stock/x")); }, APPLY_LIMIT));
}

TEST_CASE("a good version is told completed by its time limit, at no request's cost, and then gets all of them")
{
    constexpr int CALLERS = 4;
    constexpr absl::Duration TIME_LIMIT = absl::Seconds(8);
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.onStandins([&] {
        fixture.addRunner("i-b3", standins::UsersManifest::BOOKING, "v2");
        fixture.addRunner("i-b4", standins::UsersManifest::BOOKING, "v2");
        fixture.store().put("op/rollout/booking", R"({"service":"booking","target":"v2","durationS":8})");
    });
    const auto status = [&] {
        return fixture.onStandins([&] { return fixture.store().value("status/rollout/booking"); }).value_or("");
    };

    // Traffic decides; three in a hundred go to the new version, so that some hundreds are needed.
    std::atomic<bool> isOver = false;
    std::atomic<int> notServed = 0;
    std::vector<std::thread> callers;
    callers.reserve(CALLERS);
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&] {
            while (!isOver) {
                notServed += UsersFixture::isWhole("/stock/x", fixture.ask("/stock/x")) ? 0 : 1;
            }
        });
    }
    CHECK(fixture.eventually([&] { return absl::StrContains(status(), "completed"); }, TIME_LIMIT));
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(notServed == 0);
    for (int i = 0; i < 6; ++i) {
        const UsersAnswer answer = fixture.ask("/stock/x");
        const std::vector<standins::RunSeen> runs = fixture.runsOf(answer.attempt);
        REQUIRE(runs.size() == 1);
        CHECK(runs[0].version == "v2");
    }
}

TEST_CASE("the directory names the gateway while it serves")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    const http::ClientAnswer answer = fixture.get(fixture.addresses().directory, "/api/resolve?name=counter.example&region=north&zone=north-1");
    CHECK(answer.status == 200);
    CHECK(absl::StrContains(answer.body, fixture.addresses().callers));
    CHECK(absl::StrContains(answer.body, "\"ttlS\""));
}

TEST_CASE("the metrics page tells of requests, queues, budgets, allowances, and each dependency's age")
{
    UsersFixture fixture;
    fixture.manifest.tenants[0].rate = 5000;
    fixture.confirmManifest();
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(PLAIN_START_LIMIT));
    fixture.ask("/stock/x", "k-nobody");
    const http::ClientAnswer page = fixture.get(fixture.addresses().metrics, "/metrics");
    REQUIRE(page.status == 200);
    for (const char *line : {"snipeferry_requests_answered_total{label=\"r-sto\"}", "snipeferry_requests_refused_total{label=\"unknown_key\"} 1",
             "snipeferry_request_seconds_bucket{label=\"r-pla\",le=", "snipeferry_first_answer_seconds_sum{label=\"r-ans\"}",
             "snipeferry_store_call_seconds_count{label=\"announce\"}", "snipeferry_store_calls_total{label=\"watch\"}",
             "snipeferry_topic_age_seconds{label=\"operator\"}", "snipeferry_backend_servers_working{label=\"engine\"} 2",
             "snipeferry_queue_wait_seconds{label=\"booking\"}", "snipeferry_repeats_left{label=\"booking\"}", "snipeferry_allowance_tokens{label=\"bar\"}",
             "snipeferry_prompt_tokens_total{label=\"unread\"}", "snipeferry_ready 1", "snipeferry_store_reachable 1"}) {
        INFO(line);
        CHECK(absl::StrContains(page.body, line));
    }
}
