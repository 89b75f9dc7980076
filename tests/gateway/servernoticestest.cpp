#include "fixture.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: backend servers that say in their answers that they leave, or that they want no work for a time, while announcements say otherwise.
namespace {

const gateway::Headers LEAVING = {{"receipt", "x"}, {"leaving", "1"}};

gateway::Headers pause(const std::string &seconds)
{
    return {{"not-run", "x"}, {"pause", seconds}};
}

std::ptrdiff_t runsAt(const GatewayFixture &fixture, const std::string &server, std::size_t since = 0)
{
    return std::count_if(fixture.runs.sent.begin() + static_cast<std::ptrdiff_t>(since), fixture.runs.sent.end(),
        [&server](const SentRun &run) { return run.server.value() == server; });
}

/** Sends requests and answers each of them. */
void serve(GatewayFixture &fixture, int requests)
{
    for (int request = 0; request < requests; ++request) {
        const std::size_t before = fixture.runs.sent.size();
        fixture.ask("/any/1");
        if (fixture.runs.sent.size() > before) {
            fixture.succeed("x");
        }
    }
}

/** A fixture with one run at a backend server, whose name is returned. */
std::string startRun(GatewayFixture &fixture)
{
    fixture.start();
    fixture.ask("/any/1");
    return fixture.lastRun().server.value();
}

void keepConfirmed(GatewayFixture &fixture, absl::Duration time)
{
    const absl::Time end = fixture.timers.now() + time;
    while (fixture.timers.now() < end) {
        fixture.timers.advance(absl::Milliseconds(100));
        fixture.confirm();
    }
}

} // namespace

// Failure: an entry of another writer, with a service that no deployment names, makes an instance forget that the backend server leaves (DRAIN).
TEST_CASE("a backend server that has said that it leaves is chosen no more after an entry of another service in its place")
{
    GatewayFixture fixture;
    const std::string leaver = startRun(fixture);
    fixture.gateway.runHead(fixture.lastRun().run, {200, LEAVING});
    fixture.gateway.runEnd(fixture.lastRun().run, gateway::AnswerEnd::Framed);
    gateway::BackendServer odd = GatewayFixture::server(leaver);
    odd.service = core::ServiceId("warehouse");
    fixture.announce(odd);
    fixture.announce(GatewayFixture::server(leaver));
    fixture.withdraw(leaver == "s1" ? "s2" : "s1");
    const std::size_t before = fixture.runs.sent.size();
    serve(fixture, 20);
    CHECK(fixture.runs.sent.size() == before);
}

TEST_CASE("a backend server that starts again for another service has not said that it leaves")
{
    GatewayFixture fixture;
    const std::string leaver = startRun(fixture);
    fixture.gateway.runHead(fixture.lastRun().run, {200, LEAVING});
    fixture.gateway.runEnd(fixture.lastRun().run, gateway::AnswerEnd::Framed);
    gateway::BackendServer odd = GatewayFixture::server(leaver);
    odd.service = core::ServiceId("warehouse");
    fixture.announce(odd);
    gateway::BackendServer next = GatewayFixture::server(leaver);
    ++next.startedAtMs;
    fixture.announce(next);
    fixture.withdraw(leaver == "s1" ? "s2" : "s1");
    serve(fixture, 20);
    CHECK(runsAt(fixture, leaver, 1) == 20);
}

// Failure: a backend server that says only in its answers that it leaves goes on getting requests (DRAIN).
TEST_CASE("a backend server that says in an answer that it leaves is chosen no more, whatever its announcement says")
{
    GatewayFixture fixture;
    const std::string leaver = startRun(fixture);
    fixture.gateway.runHead(fixture.lastRun().run, {200, LEAVING});
    fixture.gateway.runData(fixture.lastRun().run, "x");
    fixture.gateway.runEnd(fixture.lastRun().run, gateway::AnswerEnd::Framed);
    const std::size_t before = fixture.runs.sent.size();
    serve(fixture, 20);
    fixture.announce(GatewayFixture::server(leaver));
    serve(fixture, 20);
    // Its record lapsed with the store and is written once more.
    fixture.withdraw(leaver);
    fixture.announce(GatewayFixture::server(leaver));
    serve(fixture, 20);
    CHECK(runsAt(fixture, leaver, before) == 0);
    CHECK(fixture.runs.sent.size() == before + 60);
}

// Failure: the notice is read only in answers of one kind.
TEST_CASE("a backend server may say that it leaves in an error, a refusal, a stream's head and the answer to a forwarded request")
{
    const int way = GENERATE(0, 1, 2, 3);
    CAPTURE(way);
    GatewayFixture fixture;
    fixture.start();
    if (way == 3) {
        fixture.linkRemote("gw-s", "south");
        gateway::ForwardRequest forward;
        forward.number = 1;
        forward.request.http = {"POST", "/any/1", {}, "body"};
        forward.request.id = core::RequestId("f1");
        forward.service = core::ServiceId("booking");
        forward.timeLeft = absl::Seconds(5);
        fixture.gateway.received(core::InstanceId("gw-s"), forward);
    } else {
        fixture.ask(way == 2 ? "/stream/1" : "/once/1");
    }
    const std::string leaver = fixture.lastRun().server.value();
    gateway::Headers headers = LEAVING;
    if (way == 1) {
        headers.push_back({"not-run", "x"});
    }
    fixture.gateway.runHead(fixture.lastRun().run, {way == 0 ? 500 : (way == 1 ? 503 : 200), headers});
    const std::size_t before = fixture.runs.sent.size();
    serve(fixture, 20);
    CHECK(runsAt(fixture, leaver, before) == 0);
}

// Failure: what an earlier start said keeps a new one out of use, or an old announcement brings the one that leaves back.
TEST_CASE("that a backend server leaves ends with its next start, and not with an older announcement")
{
    GatewayFixture fixture;
    fixture.start();
    gateway::BackendServer server = GatewayFixture::server("s1");
    server.startedAtMs = 2000;
    fixture.announce(server);
    fixture.withdraw("s2");
    fixture.ask("/any/1");
    fixture.gateway.runHead(fixture.lastRun().run, {200, LEAVING});
    fixture.gateway.runEnd(fixture.lastRun().run, gateway::AnswerEnd::Framed);
    const std::size_t before = fixture.runs.sent.size();
    server.startedAtMs = 1000;
    fixture.announce(server);
    serve(fixture, 5);
    CHECK(fixture.runs.sent.size() == before);
    server.startedAtMs = 3000;
    fixture.announce(server);
    serve(fixture, 5);
    CHECK(fixture.runs.sent.size() == before + 5);
}

// Failure: the answer of a run at an earlier start says of the present one that it leaves.
TEST_CASE("a late answer of an earlier start does not keep the present one out of use")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.withdraw("s2");
    gateway::BackendServer server = GatewayFixture::server("s1");
    server.startedAtMs = 1000;
    fixture.announce(server);
    fixture.ask("/stream/1");
    const gateway::Number run = fixture.lastRun().run;
    fixture.timers.advance(absl::Milliseconds(100));
    server.startedAtMs = 2000;
    fixture.announce(server);
    fixture.gateway.runHead(run, {200, LEAVING});
    const std::size_t before = fixture.runs.sent.size();
    serve(fixture, 5);
    CHECK(fixture.runs.sent.size() == before + 5);
}

// Failure: a backend server that has turned a request away for some time gets more of them meanwhile (BUDGET).
TEST_CASE("a backend server that asks for a pause gets nothing until it is over, and then work again")
{
    GatewayFixture fixture;
    const std::string paused = startRun(fixture);
    fixture.gateway.runHead(fixture.lastRun().run, {503, pause("4")});
    CHECK(fixture.lastRun().server.value() != paused);
    fixture.succeed("x");
    const std::size_t before = fixture.runs.sent.size();
    for (int step = 0; step < 39; ++step) {
        serve(fixture, 3);
        keepConfirmed(fixture, absl::Milliseconds(100));
    }
    CHECK(runsAt(fixture, paused, before) == 0);
    keepConfirmed(fixture, absl::Milliseconds(1100));
    // With the other one gone all goes there.
    fixture.withdraw(paused == "s1" ? "s2" : "s1");
    const std::size_t after = fixture.runs.sent.size();
    serve(fixture, 3);
    CHECK(runsAt(fixture, paused, after) == 3);
}

// Failure: the pause that was asked for first ends one that was asked for later, or a run from before the pause does.
TEST_CASE("of several pauses the latest end counts, and only a later run that is served well ends it")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.withdraw("s2");
    std::vector<gateway::Number> runs;
    for (int request = 0; request < 3; ++request) {
        fixture.ask("/once/1");
        runs.push_back(fixture.lastRun().run);
    }
    fixture.timers.advance(absl::Milliseconds(10));
    fixture.gateway.runHead(runs[0], {503, pause("5")});
    fixture.gateway.runHead(runs[1], {503, pause("1")});
    fixture.gateway.runHead(runs[2], {200, {{"receipt", "x"}}});
    fixture.gateway.runEnd(runs[2], gateway::AnswerEnd::Framed);
    const std::size_t before = fixture.runs.sent.size();
    keepConfirmed(fixture, absl::Seconds(4));
    serve(fixture, 3);
    CHECK(fixture.runs.sent.size() == before);
}

// Failure: where all backend servers pause, callers are not told when to come back, or all come back at one moment.
TEST_CASE("while all backend servers pause callers are refused at once and led back over the time behind the pauses")
{
    GatewayFixture fixture;
    fixture.start();
    for (const char *name : {"s1", "s2"}) {
        (void)name;
        const std::shared_ptr<Answer> answer = fixture.ask("/any/1");
        while (!answer->error.has_value()) {
            fixture.gateway.runHead(fixture.lastRun().run, {503, pause("3")});
        }
    }
    const std::size_t before = fixture.runs.sent.size();
    std::vector<absl::Duration> waits;
    for (int request = 0; request < 20; ++request) {
        const std::shared_ptr<Answer> answer = fixture.ask("/any/1");
        REQUIRE(answer->error.has_value());
        CHECK(answer->status == 503);
        REQUIRE(answer->error->retryAfter.has_value());
        waits.push_back(*answer->error->retryAfter);
    }
    CHECK(fixture.runs.sent.size() == before);
    const auto bounds = std::minmax_element(waits.begin(), waits.end());
    CHECK(*bounds.first >= absl::Seconds(3));
    CHECK(*bounds.second > *bounds.first + absl::Milliseconds(50));
}

// Failure: an absurd time keeps a backend server out of use for good.
TEST_CASE("one answer keeps a backend server out of use for a minute and a fifth at most")
{
    GatewayFixture fixture;
    const std::string paused = startRun(fixture);
    fixture.gateway.runHead(fixture.lastRun().run, {503, pause("1e12")});
    fixture.withdraw(paused == "s1" ? "s2" : "s1");
    fixture.withdraw(paused);
    fixture.announce(GatewayFixture::server(paused));
    keepConfirmed(fixture, absl::Seconds(59));
    std::size_t before = fixture.runs.sent.size();
    serve(fixture, 1);
    CHECK(fixture.runs.sent.size() == before);
    keepConfirmed(fixture, absl::Seconds(14));
    before = fixture.runs.sent.size();
    serve(fixture, 1);
    CHECK(fixture.runs.sent.size() == before + 1);
}
