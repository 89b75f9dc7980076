#include "fixture.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: callers that leave early, at an instance that is behind with its work and has not read the ends of their connections.
namespace {

/** Sends a request whose caller has left before the gateway looks at it. */
std::shared_ptr<Answer> askAndLeave(GatewayFixture &fixture, const std::string &target, const gateway::Headers &extra = {})
{
    gateway::HttpRequest request{"POST", target, extra, "body"};
    request.headers.push_back({"id", absl::StrCat("r", ++fixture.requestCount)});
    std::shared_ptr<Answer> answer = std::make_shared<Answer>();
    answer->isCallerGone = true;
    fixture.lastRequest = fixture.gateway.requests().arrived(std::move(request), std::make_shared<FakeSink>(answer));
    return answer;
}

std::ptrdiff_t linesOf(const GatewayFixture &fixture, const std::string &event)
{
    return std::count_if(fixture.journal.lines.begin(), fixture.journal.lines.end(),
        [&event](const std::string &line) { return absl::StrContains(line, absl::StrCat("event=", event, " ")); });
}

/** A deployment whose customer "bar" has a rate of ten requests a second, for which instances ask each other. */
gateway::Deployment limitedDeployment()
{
    gateway::Deployment deployment = GatewayFixture::deployment(2);
    deployment.customers[0].ratePerSecond = 10;
    deployment.customers[0].burst = 10;
    return deployment;
}

} // namespace

// Failure: a busy instance sends requests to backend servers whose callers left before it looked at them.
TEST_CASE("a request whose caller left before it was decided starts no run")
{
    GatewayFixture fixture;
    fixture.start();
    askAndLeave(fixture, "/once/1");
    CHECK(fixture.runs.sent.empty());
    CHECK(fixture.gateway.openCount() == 0);
    CHECK(linesOf(fixture, "caller_left") == 1);
    // The end of the connection is reported later, and changes nothing.
    fixture.gateway.requests().callerLeft(fixture.lastRequest);
    CHECK(linesOf(fixture, "caller_left") == 1);
}

// Failure: requests of callers that have left go to another region.
TEST_CASE("a request whose caller left before it was decided is not forwarded")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-s", "south");
    askAndLeave(fixture, "/south/1");
    CHECK(fixture.links.all<gateway::ForwardRequest>().empty());
    CHECK(fixture.gateway.openCount() == 0);
}

// Failure: callers that left use up their customer's rate, so that those who wait are refused.
TEST_CASE("a request whose caller left before it was decided costs its customer nothing")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.deploy(limitedDeployment());
    // A started instance has no tokens at first.
    fixture.timers.advance(absl::Seconds(2));
    fixture.confirm();
    for (int request = 0; request < 100; ++request) {
        askAndLeave(fixture, "/keyed/1", {{"key", "bar-key"}});
    }
    CHECK(fixture.runs.sent.empty());
    const std::shared_ptr<Answer> answer = fixture.ask("/keyed/1", {{"key", "bar-key"}});
    CHECK_FALSE(answer->error.has_value());
    CHECK(fixture.runs.sent.size() == 1);
}

// Failure: between two attempts nobody looks whether the caller still waits, and a second backend server is given its request.
TEST_CASE("a request whose caller left during its run is not sent to a second backend server")
{
    const int fail = GENERATE(0, 1, 2, 3);
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/any/1");
    REQUIRE(fixture.runs.sent.size() == 1);
    answer->isCallerGone = true;
    const gateway::Number run = fixture.lastRun().run;
    if (fail == 0) {
        fixture.gateway.runFailed(run, true, gateway::REASON_NO_ANSWER);
    } else if (fail == 1) {
        fixture.gateway.runHead(run, {503, {{"not-run", "x"}}});
    } else if (fail == 2) {
        fixture.gateway.runHead(run, {500, {{"receipt", "x"}}});
    } else {
        fixture.timers.advance(absl::Seconds(3));
    }
    CHECK(fixture.runs.sent.size() == 1);
    CHECK(fixture.gateway.openCount() == 0);
    CHECK(linesOf(fixture, "caller_left") == 1);
}

// Failure: the stream of a caller that has left goes on at another backend server.
TEST_CASE("a broken stream is not resumed for a caller that left")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/1");
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.runHead(run, {200, {{"receipt", "x"}, {"Content-Type", "text/event-stream"}}});
    fixture.gateway.runData(run, "id: 1\ndata: a\n\n");
    answer->isCallerGone = true;
    fixture.gateway.runFailed(run, true, gateway::REASON_ANSWER_BROKEN_OFF);
    CHECK(fixture.runs.sent.size() == 1);
    CHECK(fixture.gateway.openCount() == 0);
}

// Failure: a request that waits for tokens of other instances is begun after its caller has left.
TEST_CASE("a request that waits for tokens starts no run if its caller leaves meanwhile")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.deploy(limitedDeployment());
    fixture.confirm();
    fixture.linkRemote("gw-2", "north");
    std::shared_ptr<Answer> waiting;
    for (int request = 0; request < 100 && waiting == nullptr; ++request) {
        const std::shared_ptr<Answer> answer = fixture.ask("/keyed/1", {{"key", "bar-key"}});
        if (answer->finalCount == 0 && fixture.runs.sent.size() == static_cast<std::size_t>(request)) {
            waiting = answer;
        }
    }
    REQUIRE(waiting != nullptr);
    const std::size_t sent = fixture.runs.sent.size();
    waiting->isCallerGone = true;
    fixture.gateway.received(core::InstanceId("gw-2"), gateway::AllowanceTransfer{{{core::CustomerId("bar"), 5}}});
    fixture.timers.advance(absl::Milliseconds(100));
    CHECK(fixture.runs.sent.size() == sent);
    CHECK(linesOf(fixture, "caller_left") == 1);
}

// Failure: a caller that leaves at some stage of its request is noticed, but its work goes on.
TEST_CASE("the work of a caller that leaves is stopped once and logged once at each stage of its request")
{
    const int stage = GENERATE(0, 1, 2, 3);
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-s", "south");
    fixture.ask(stage == 3 ? "/south/1" : "/stream/1");
    if (stage == 1 || stage == 2) {
        fixture.gateway.runHead(fixture.lastRun().run, {200, {{"receipt", "x"}, {"Content-Type", "text/event-stream"}}});
    }
    if (stage == 2) {
        fixture.gateway.runData(fixture.lastRun().run, "id: 1\ndata: a\n\n");
    }
    fixture.gateway.requests().callerLeft(fixture.lastRequest);
    fixture.gateway.requests().callerLeft(fixture.lastRequest);
    CHECK(fixture.runs.cancelled.size() == (stage == 3 ? 0 : 1));
    CHECK(fixture.links.all<gateway::ForwardCancel>().size() == (stage == 3 ? 1 : 0));
    CHECK(linesOf(fixture, "caller_left") == 1);
    CHECK(fixture.gateway.openCount() == 0);
}

// Failure: the run of a forwarded request goes on after its caller has left, or a late notice ends another one's.
TEST_CASE("a forwarded request that is taken back is stopped at the backend server, and only that one")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-s", "south");
    gateway::ForwardRequest forward;
    forward.request.http = {"POST", "/once/1", {}, "body"};
    forward.service = core::ServiceId("booking");
    forward.timeLeft = absl::Seconds(5);
    for (const std::uint64_t number : {1, 2}) {
        forward.number = number;
        forward.request.id = core::RequestId(absl::StrCat("f", number));
        fixture.gateway.received(core::InstanceId("gw-s"), forward);
    }
    REQUIRE(fixture.runs.sent.size() == 2);
    fixture.gateway.received(core::InstanceId("gw-s"), gateway::ForwardCancel{7});
    CHECK(fixture.runs.cancelled.empty());
    fixture.gateway.received(core::InstanceId("gw-s"), gateway::ForwardCancel{1});
    fixture.gateway.received(core::InstanceId("gw-s"), gateway::ForwardCancel{1});
    REQUIRE(fixture.runs.cancelled.size() == 1);
    CHECK(fixture.runs.cancelled.front() == fixture.runs.sent.front().run);
    CHECK(linesOf(fixture, "forward_cancelled") == 1);
}

// Failure: work for an instance that is gone goes on at backend servers without an end.
TEST_CASE("forwarded work for an instance that is gone ends at once if it may be repeated, and after six seconds if not")
{
    const bool isRepeatable = GENERATE(true, false);
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-s", "south");
    gateway::ForwardRequest forward;
    forward.request.http = {"POST", "/once/1", {}, "body"};
    forward.request.id = core::RequestId("f1");
    forward.number = 1;
    forward.service = core::ServiceId("booking");
    forward.isRepeatable = isRepeatable;
    forward.timeLeft = absl::Seconds(30);
    fixture.gateway.received(core::InstanceId("gw-s"), forward);
    fixture.gateway.linkDown(core::InstanceId("gw-s"));
    CHECK(fixture.runs.cancelled.size() == (isRepeatable ? 1 : 0));
    fixture.timers.advance(absl::Milliseconds(6200));
    CHECK(fixture.runs.cancelled.size() == 1);
}
