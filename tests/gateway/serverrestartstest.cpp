#include "snipeferry/gateway/serverrestarts.h"

#include "fixture.h"
#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration COLD_TIME = absl::Seconds(3);
constexpr absl::Duration LONG_TIME = absl::Milliseconds(300);

/** A gateway between two backend servers that are cold for some seconds after their start. */
struct RestartsFixture : GatewayFixture
{
    RestartsFixture()
    {
        start();
        timers.advance(absl::Seconds(8));
        confirm();
        confirmServers();
    }

    void confirmServers()
    {
        gateway.topicChanged(gateway::Topic::BackendServers, {}, revision, timers.now());
        gateway.topicChanged(gateway::Topic::Members, {}, revision, timers.now());
    }

    /** Fails a request's run, in the middle of its answer or before it. Returns the backend server. */
    core::BackendServerId fail(const std::string &reason, bool hasBegun)
    {
        ask("/once/x");
        const SentRun run = lastRun();
        if (hasBegun) {
            gateway.runHead(run.run, {200, {{"receipt", "x"}}});
            gateway.runData(run.run, "half");
        }
        gateway.runFailed(run.run, hasBegun, reason);
        return run.server;
    }

    void endCheck(bool isReached)
    {
        REQUIRE_FALSE(runs.checks.empty());
        const gateway::Number check = runs.checks.back().first;
        runs.checks.clear();
        if (isReached) {
            gateway.runEnd(check, gateway::AnswerEnd::ConnectionClosed);
        } else {
            gateway.runFailed(check, false, gateway::REASON_CONNECT_REFUSED);
        }
    }

    void answerQuestion(const gateway::HttpHead &head)
    {
        REQUIRE(runs.questions.size() == 1);
        gateway.runHead(std::exchange(runs.questions, {}).front().first, head);
    }

    /** Number of requests out of twenty that a backend server gets; each of them is answered. */
    int sharedOut(const core::BackendServerId &server)
    {
        int count = 0;
        for (int request = 0; request < 20; ++request) {
            const std::size_t before = runs.sent.size();
            ask("/once/x");
            if (runs.sent.size() > before) {
                count += lastRun().server == server ? 1 : 0;
                succeed("answer");
            }
        }
        return count;
    }

    bool hasDecided(const std::string &outcome) const
    {
        return std::any_of(journal.lines.begin(), journal.lines.end(),
            [&outcome](const std::string &line) { return absl::StrContains(line, "server_restart_decided") && absl::StrContains(line, "outcome=" + outcome); });
    }
};

} // namespace

// Guards against a server that is spared for every answer that breaks off.
TEST_CASE("a backend server that is reached right after an answer broke off is the same process")
{
    RestartsFixture fixture;
    fixture.fail(gateway::REASON_ANSWER_BROKEN_OFF, true);
    fixture.endCheck(true);
    CHECK(fixture.hasDecided("same_process"));
    CHECK(fixture.runs.questions.empty());
}

// Guards against a restarted server that is taken for the process before because it answers (FAILBACK).
TEST_CASE("a backend server that is reached long after its last sign of life is asked how long it remains cold")
{
    RestartsFixture fixture;
    const core::BackendServerId server = fixture.fail(gateway::REASON_CONNECT_TIMEOUT, false);
    fixture.endCheck(true);
    SECTION("it is cold")
    {
        fixture.answerQuestion({200, {{"cold", "2500"}}});
        CHECK(fixture.sharedOut(server) <= 1);
        fixture.timers.advance(absl::Milliseconds(2700));
        CHECK(fixture.hasDecided("warm"));
    }
    SECTION("it is not cold")
    {
        fixture.answerQuestion({200, {}});
        CHECK(fixture.hasDecided("not_cold"));
    }
    SECTION("it says neither")
    {
        fixture.answerQuestion({503, {}});
        CHECK(fixture.sharedOut(server) <= 1);
        fixture.timers.advance(COLD_TIME + LONG_TIME);
        CHECK(fixture.hasDecided("warm"));
    }
    SECTION("it says something that is no time")
    {
        fixture.answerQuestion({200, {{"cold", "long"}}});
        CHECK(fixture.sharedOut(server) <= 1);
    }
    SECTION("it does not answer")
    {
        fixture.timers.advance(absl::Seconds(2));
        CHECK(fixture.sharedOut(server) <= 2);
        fixture.timers.advance(COLD_TIME);
        CHECK(fixture.hasDecided("warm"));
    }
    SECTION("another sign comes before the answer")
    {
        const gateway::Number question = fixture.runs.questions.front().first;
        fixture.timers.advance(LONG_TIME);
        while (fixture.fail(gateway::REASON_CONNECT_REFUSED, false) != server) {
            fixture.timers.advance(LONG_TIME);
        }
        fixture.gateway.runHead(question, {200, {}});
        CHECK_FALSE(fixture.hasDecided("not_cold"));
    }
}

// Guards against requests to an address at which no process listens.
TEST_CASE("a backend server gets no requests while no process is reached, and its end is told")
{
    RestartsFixture fixture;
    const core::BackendServerId server = fixture.fail(gateway::REASON_CONNECT_REFUSED, false);
    fixture.endCheck(false);
    CHECK(fixture.sharedOut(server) == 0);
    gateway::BackendServer restarted = GatewayFixture::server(server.value());
    restarted.startedAtMs = 5;
    fixture.announce(restarted);
    fixture.timers.advance(LONG_TIME);
    CHECK(fixture.hasDecided("announced"));
    CHECK(fixture.sharedOut(server) > 0);
}

// Guards against an instance that hears of a server's end before it reads its announcement (FAILBACK).
TEST_CASE("an instance that hears of the end of a process before it reads its announcement takes the backend server for cold")
{
    RestartsFixture fixture;
    gateway::BackendServer server = GatewayFixture::server("s3");
    server.startedAtMs = 7;
    gateway::CrashReport report;
    report.server = server.id;
    report.startedAtMs = server.startedAtMs;
    report.service = server.service;
    report.ago = absl::Seconds(1);
    const std::int64_t announcedStart = GENERATE(7, 8);
    fixture.gateway.received(core::InstanceId("gw-2"), gateway::PromptEvidence{{report}, {}, {}});
    server.startedAtMs = announcedStart;
    fixture.announce(server);
    const bool isSuspected = std::any_of(fixture.journal.lines.begin(), fixture.journal.lines.end(),
        [](const std::string &line) { return absl::StrContains(line, "server_restart_suspected") && absl::StrContains(line, "server=s3"); });
    CHECK(isSuspected == (announcedStart == 7));
}

// Guards against an instance that takes the successor, of which it has just heard, for the process whose end is reported (FAILBACK).
TEST_CASE("a report of an end some time ago counts although the backend server was heard of just now")
{
    RestartsFixture fixture;
    const absl::Duration ago = GENERATE(absl::Milliseconds(50), absl::Milliseconds(400));
    fixture.ask("/once/x");
    const core::BackendServerId server = fixture.lastRun().server;
    fixture.succeed("answer");
    gateway::CrashReport report;
    report.server = server;
    report.service = core::ServiceId("booking");
    report.ago = ago;
    fixture.gateway.received(core::InstanceId("gw-2"), gateway::PromptEvidence{{report}, {}, {}});
    fixture.endCheck(true);
    CHECK(fixture.hasDecided("same_process") == (ago == absl::Milliseconds(50)));
}

// Guards against instances that all ask a cold server at once, or none.
TEST_CASE("instances rank each other in the same order for a backend server")
{
    const std::vector<core::InstanceId> instances = {core::InstanceId("gw-1"), core::InstanceId("gw-2"), core::InstanceId("gw-3"), core::InstanceId("gw-4")};
    std::vector<std::size_t> ranks;
    for (const core::InstanceId &instance : instances) {
        ranks.push_back(gateway::rendezvousRank("s1", instance, instances));
        CHECK((ranks.back() == 0) == (gateway::rendezvousFirst("s1", instances) == instance));
    }
    std::sort(ranks.begin(), ranks.end());
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
}
