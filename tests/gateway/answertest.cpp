#include "fixture.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** Sends the head of a successful stream. */
gateway::Number beginStream(GatewayFixture &fixture)
{
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.runHead(run, {200, {{"receipt", "x"}}});
    return run;
}

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: x\n\n");
}

} // namespace

TEST_CASE("bytes that never make an event end the run as a broken answer")
{
    GatewayFixture fixture;
    fixture.start();
    const bool hasBegun = GENERATE(false, true);
    const std::shared_ptr<Answer> answer = fixture.ask("/stream/x");
    const gateway::Number run = beginStream(fixture);
    if (hasBegun) {
        fixture.gateway.runData(run, event(1));
    }
    const std::string piece(4096, 'x');
    int pieces = 0;
    while (answer->finalCount == 0 && pieces < 4096) {
        fixture.gateway.runData(run, piece);
        ++pieces;
    }
    // 16 MB would be a tenth of a small machine's memory for one answer.
    CHECK(pieces < 1024);
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
    CHECK(answer->isBrokenOff == hasBegun);
    CHECK(answer->status == (hasBegun ? 200 : 502));
    CHECK_FALSE(answer->isComplete);
    CHECK(fixture.gateway.requests().answerBytes() == 0);
}

TEST_CASE("an event that arrives in many pieces is found whole, wherever it is cut")
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        gateway::EventStream stream;
        std::string whole;
        for (std::size_t at = 0; at < text.size(); at += size) {
            whole += stream.feed(text.substr(at, size));
        }
        CHECK(whole == text);
        CHECK(stream.eventCount() == 3);
        CHECK(stream.partial().empty());
    }
}

TEST_CASE("answers of one backend server are bounded together, and others are served on")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.withdraw("s2");
    const std::string piece(1U << 20U, 'x');
    std::vector<std::shared_ptr<Answer>> answers;
    std::vector<gateway::Number> runs;
    for (int count = 0; count < 40; ++count) {
        answers.push_back(fixture.ask("/once/x"));
        runs.push_back(fixture.lastRun().run);
        fixture.gateway.runHead(runs.back(), {200, {{"receipt", "x"}}});
    }
    std::size_t highest = 0;
    for (int round = 0; round < 12; ++round) {
        for (const gateway::Number run : runs) {
            fixture.gateway.runData(run, piece);
            highest = std::max(highest, fixture.gateway.requests().answerBytes());
        }
    }
    CHECK(highest <= gateway::AnswerLimits().perSource + piece.size());
    for (const std::shared_ptr<Answer> &answer : answers) {
        CHECK(answer->status == 502);
    }
    CHECK(fixture.gateway.requests().answerBytes() == 0);
    fixture.announce(GatewayFixture::server("s3"));
    const std::shared_ptr<Answer> served = fixture.ask("/once/x");
    fixture.succeed("done");
    CHECK(served->status == 200);
}

TEST_CASE("the bounds of answers follow from the machine's memory")
{
    for (const double memoryMb : {64.0, 160.0, 512.0, 65536.0}) {
        const gateway::AnswerLimits limits = gateway::answerLimitsFor(memoryMb);
        CHECK(limits.perProcess <= memoryMb * 1e6 / 3);
        CHECK(limits.perSource < limits.perProcess);
        CHECK(limits.perAnswer < limits.perSource);
        CHECK(limits.pauseAbove < limits.perAnswer);
        CHECK(limits.resumeBelow < limits.pauseAbove);
    }
}

TEST_CASE("nothing more is read from a backend server while its caller has many bytes to take, and that is not its silence")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/x");
    const gateway::Number run = beginStream(fixture);
    answer->unsentBytes = gateway::AnswerLimits().pauseAbove + 1;
    fixture.gateway.runData(run, event(1));
    CHECK(fixture.runs.paused[run]);
    fixture.timers.advance(absl::Seconds(4));
    CHECK(fixture.runs.cancelled.empty());
    answer->unsentBytes = gateway::AnswerLimits().resumeBelow;
    fixture.timers.advance(absl::Milliseconds(100));
    CHECK_FALSE(fixture.runs.paused[run]);
    fixture.gateway.runData(run, event(2));
    CHECK(fixture.runs.cancelled.empty());
    CHECK(answer->finalCount == 0);
}

TEST_CASE("the caller of a forwarded request that takes its answer slowly stops the reading at the other region")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const std::shared_ptr<Answer> answer = fixture.ask("/south/x");
    const std::vector<gateway::ForwardRequest> forwards = fixture.links.all<gateway::ForwardRequest>();
    REQUIRE(forwards.size() == 1);
    gateway::HttpHead head{200, {{"receipt", "x"}}};
    fixture.gateway.received(core::InstanceId("gw-9"), gateway::ForwardHead{forwards[0].number, head});
    // The receiving side stops and continues the run.
    const core::InstanceId origin("gw-9");
    gateway::ForwardRequest request = forwards[0];
    request.number = 77;
    request.homeRegions.clear();
    request.timeLeft = absl::Seconds(5);
    fixture.gateway.received(origin, request);
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.received(origin, gateway::ForwardFlow{77, true});
    CHECK(fixture.runs.paused[run]);
    fixture.gateway.received(origin, gateway::ForwardFlow{77, false});
    CHECK_FALSE(fixture.runs.paused[run]);
}

TEST_CASE("a slow but sound stream is not cut")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/x");
    const gateway::Number run = beginStream(fixture);
    // Callers wait for four times the route's objective of one second.
    for (int id = 1; id <= 4; ++id) {
        fixture.gateway.runData(run, event(id));
        fixture.timers.advance(absl::Milliseconds(2200));
    }
    CHECK(fixture.runs.cancelled.empty());
    CHECK(fixture.runs.sent.size() == 1);
    fixture.gateway.runEnd(run, gateway::AnswerEnd::Framed);
    CHECK(answer->isComplete);
}

TEST_CASE("a stalled stream that sends a byte now and then is replaced")
{
    GatewayFixture fixture;
    fixture.start();
    const bool hasBegun = GENERATE(false, true);
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/x");
    const gateway::Number run = beginStream(fixture);
    if (hasBegun) {
        fixture.gateway.runData(run, event(1));
    }
    for (int step = 0; step < 20 && fixture.runs.cancelled.empty(); ++step) {
        fixture.gateway.runData(run, "x");
        fixture.timers.advance(absl::Milliseconds(250));
    }
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
    CHECK(fixture.runs.sent.size() == 2);
    CHECK(answer->finalCount == 0);
}

TEST_CASE("a stalled stream that cannot be replaced ends at its time limit")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/stream/x");
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, event(1));
    for (int step = 0; step < 22; ++step) {
        fixture.gateway.runData(run, "x");
        fixture.timers.advance(absl::Milliseconds(500));
    }
    CHECK(answer->isBrokenOff);
    CHECK(answer->finalCount == 1);
}

TEST_CASE("a stream that ends with its connection in the middle of an event never looks complete")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/stream/x");
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, event(1) + "id: 2\ndata: ha");
    fixture.gateway.runEnd(run, gateway::AnswerEnd::ConnectionClosed);
    CHECK(answer->isBrokenOff);
    CHECK_FALSE(answer->isComplete);
}

TEST_CASE("a resumable stream that ends with its connection in the middle of an event goes on elsewhere")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/x");
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, event(1) + "id: 2\ndata: ha");
    fixture.gateway.runEnd(run, gateway::AnswerEnd::ConnectionClosed);
    REQUIRE(fixture.runs.sent.size() == 2);
    const gateway::Number second = beginStream(fixture);
    fixture.gateway.runData(second, event(2));
    fixture.gateway.runEnd(second, gateway::AnswerEnd::ConnectionClosed);
    CHECK(answer->isComplete);
    CHECK(answer->body == event(1) + event(2));
}

TEST_CASE("a stream that ends with its connection behind a whole event is complete")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/stream/x");
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, event(1));
    fixture.gateway.runEnd(run, gateway::AnswerEnd::ConnectionClosed);
    CHECK(answer->isComplete);
}

TEST_CASE("a forwarded stream that ends with its connection in the middle of an event is told as failed")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const bool isWhole = GENERATE(false, true);
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.id = core::RequestId("r1");
    request.request.http = {"POST", "/stream/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.isStream = true;
    request.timeLeft = absl::Seconds(5);
    fixture.gateway.received(core::InstanceId("gw-9"), request);
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, event(1) + (isWhole ? event(2) : "id: 2\nda"));
    fixture.gateway.runEnd(run, gateway::AnswerEnd::ConnectionClosed);
    CHECK(fixture.links.all<gateway::ForwardEnd>().size() == (isWhole ? 1 : 0));
    const std::vector<gateway::ForwardFailed> failed = fixture.links.all<gateway::ForwardFailed>();
    REQUIRE(failed.size() == (isWhole ? 0 : 1));
    if (!isWhole) {
        CHECK(failed[0].mayHaveRun);
    }
}

TEST_CASE("a piece of a forwarded answer that the link does not take ends the run and is no silent gap")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.http = {"POST", "/stream/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.timeLeft = absl::Seconds(5);
    fixture.gateway.received(core::InstanceId("gw-9"), request);
    const gateway::Number run = beginStream(fixture);
    fixture.links.isUp = false;
    fixture.gateway.runData(run, "data");
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
    CHECK(fixture.links.all<gateway::ForwardFailed>().size() == 1);
}

TEST_CASE("after a restart a backend server that may have left gets nothing until its announcement is confirmed")
{
    GatewayFixture fixture;
    const std::vector<gateway::Record> old = {{"s1", nlohmann::json(GatewayFixture::server("s1")).dump(), 5}};
    const gateway::Deployment deployment = GatewayFixture::deployment();
    fixture.gateway.topicRead(gateway::Topic::Operator, {{"deployment", nlohmann::json(deployment).dump(), 4}}, 8, fixture.timers.now());
    fixture.gateway.topicRead(gateway::Topic::BackendServers, old, 6, absl::InfinitePast());
    CHECK_FALSE(fixture.gateway.isReady());
    CHECK(fixture.ask("/once/x")->status == 503);
    CHECK(fixture.runs.sent.empty());
    CHECK(fixture.gateway.shouldWatch(gateway::Topic::BackendServers));
    SECTION("the store tells that it has left")
    {
        fixture.gateway.topicChanged(gateway::Topic::BackendServers, {{"s1", std::nullopt, 7}}, 8, fixture.timers.now());
        CHECK(fixture.ask("/once/x")->status == 503);
        CHECK(fixture.runs.sent.empty());
        CHECK(fixture.gateway.isReady());
    }
    SECTION("the store confirms it")
    {
        fixture.gateway.topicChanged(gateway::Topic::BackendServers, {}, 8, fixture.timers.now());
        CHECK(fixture.gateway.isReady());
        fixture.ask("/once/x");
        CHECK(fixture.runs.sent.size() == 1);
    }
    SECTION("another instance confirms it")
    {
        fixture.gateway.linkUp(GatewayFixture::member("gw-2", "north"));
        gateway::Pulse pulse;
        pulse.sentAt = 5;
        pulse.echo = absl::ToUnixNanos(fixture.timers.now());
        pulse.topics = {{gateway::Topic::BackendServers, 5, absl::Milliseconds(10)}};
        fixture.gateway.received(core::InstanceId("gw-2"), pulse);
        CHECK(fixture.gateway.isReady());
    }
    SECTION("an instance that is alone serves with what it knows")
    {
        fixture.timers.advance(absl::Milliseconds(2100));
        fixture.ask("/once/x");
        CHECK(fixture.runs.sent.size() == 1);
    }
}

TEST_CASE("after a restart a withdrawn key is refused, also if another instance still has an older deployment")
{
    GatewayFixture fixture;
    gateway::Deployment withdrawn = GatewayFixture::deployment(7);
    withdrawn.customers.front().keyDigests.clear();
    fixture.gateway.topicRead(gateway::Topic::Operator, {{"deployment", nlohmann::json(withdrawn).dump(), 20}}, 22, fixture.timers.now());
    fixture.gateway.topicRead(gateway::Topic::BackendServers, {{"s1", nlohmann::json(GatewayFixture::server("s1")).dump(), 5}}, 22, fixture.timers.now());
    fixture.linkRemote("gw-2", "north");
    const gateway::Deployment older = GatewayFixture::deployment(6);
    fixture.gateway.received(
        core::InstanceId("gw-2"), gateway::RecordsTransfer{gateway::Topic::Operator, 19, {{"deployment", nlohmann::json(older).dump(), 10}}});
    fixture.gateway.received(
        core::InstanceId("gw-2"), gateway::RecordsUpdate{gateway::Topic::Operator, 9, 19, {{"deployment", nlohmann::json(older).dump(), 10}}});
    CHECK(fixture.ask("/keyed/x", {{"key", "bar-key"}})->status == 401);
    CHECK(fixture.runs.sent.empty());
}

TEST_CASE("before it has read the deployment itself, a restarted instance accepts no key from another instance's copy")
{
    GatewayFixture fixture;
    fixture.gateway.topicRead(gateway::Topic::BackendServers, {{"s1", nlohmann::json(GatewayFixture::server("s1")).dump(), 5}}, 5, fixture.timers.now());
    fixture.linkRemote("gw-2", "north");
    const gateway::Deployment older = GatewayFixture::deployment(6);
    fixture.gateway.received(
        core::InstanceId("gw-2"), gateway::RecordsTransfer{gateway::Topic::Operator, 19, {{"deployment", nlohmann::json(older).dump(), 10}}});
    CHECK(fixture.ask("/keyed/x", {{"key", "bar-key"}})->status == 503);
    CHECK(fixture.runs.sent.empty());
}

// A link that is silent for some seconds closes at both ends, although the other instance may only be slow to report and goes on with its work.
TEST_CASE("a forwarded call that may not be repeated waits for its link to come back, and gets its answer")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const std::shared_ptr<Answer> answer = fixture.ask("/south/x");
    const std::vector<gateway::ForwardRequest> forwards = fixture.links.all<gateway::ForwardRequest>();
    REQUIRE(forwards.size() == 1);
    const core::InstanceId peer("gw-9");
    fixture.gateway.linkDown(peer);
    CHECK(answer->finalCount == 0);
    fixture.timers.advance(absl::Seconds(1));
    fixture.gateway.linkUp(GatewayFixture::member("gw-9", "south"));
    const std::vector<gateway::ForwardResume> resumed = fixture.links.all<gateway::ForwardResume>();
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0] == gateway::ForwardResume{forwards[0].number, false, 0});
    SECTION("the other instance has the answer")
    {
        fixture.gateway.received(peer, gateway::ForwardHead{forwards[0].number, {200, {{"receipt", "x"}}}});
        fixture.gateway.received(peer, gateway::ForwardData{forwards[0].number, 0, "done"});
        fixture.gateway.received(peer, gateway::ForwardEnd{forwards[0].number, 1});
        CHECK(answer->isComplete);
        CHECK(answer->body == "done");
    }
    SECTION("the other instance has restarted")
    {
        fixture.gateway.received(peer, gateway::ForwardFailed{forwards[0].number, true, "unknown_after_link_loss"});
        CHECK(answer->status == 502);
    }
    SECTION("the link is lost again and does not come back")
    {
        fixture.gateway.linkDown(peer);
        fixture.timers.advance(absl::Seconds(10));
        CHECK(answer->status == 504);
    }
    CHECK(answer->finalCount == 1);
}

TEST_CASE("the instance that runs a forwarded call goes on while its link is lost, and sends what was lost with it")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const core::InstanceId origin("gw-9");
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.http = {"POST", "/once/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.isRepeatable = GENERATE(false, true);
    request.timeLeft = absl::Seconds(9);
    fixture.gateway.received(origin, request);
    const gateway::Number run = beginStream(fixture);
    fixture.gateway.runData(run, "first ");
    const bool endsBeforeLoss = GENERATE(false, true);
    const auto finish = [&] {
        fixture.gateway.runData(run, "second");
        fixture.gateway.runEnd(run, gateway::AnswerEnd::Framed);
    };
    if (endsBeforeLoss) {
        finish();
    }
    fixture.links.isUp = false;
    fixture.gateway.linkDown(origin);
    if (request.isRepeatable && !endsBeforeLoss) {
        // The origin has sent it elsewhere.
        CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
        return;
    }
    fixture.timers.advance(absl::Seconds(1));
    if (!endsBeforeLoss) {
        CHECK(fixture.runs.cancelled.empty());
        finish();
    }
    fixture.links.isUp = true;
    fixture.links.sent.clear();
    fixture.gateway.linkUp(GatewayFixture::member("gw-9", "south"));
    fixture.gateway.received(origin, gateway::ForwardResume{5, true, 1});
    if (request.isRepeatable) {
        CHECK(fixture.links.all<gateway::ForwardFailed>().size() == 1);
        return;
    }
    const std::vector<gateway::ForwardData> pieces = fixture.links.all<gateway::ForwardData>();
    REQUIRE(pieces.size() == 1);
    CHECK(pieces[0] == gateway::ForwardData{5, 1, "second"});
    CHECK(fixture.links.all<gateway::ForwardEnd>() == std::vector<gateway::ForwardEnd>{{5, 2}});
}

TEST_CASE("a forwarded run whose link does not come back ends")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.http = {"POST", "/once/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.timeLeft = absl::Seconds(30);
    fixture.gateway.received(core::InstanceId("gw-9"), request);
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.linkDown(core::InstanceId("gw-9"));
    fixture.timers.advance(absl::Seconds(7));
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
}

// Failure: an answer whose status is no status of HTTP reaches the caller, or its headers count as a statement that the request was not run.
TEST_CASE("an answer with a status outside 100 to 599 is no answer, for streams and plain answers, here and forwarded")
{
    const int status = GENERATE(0, 99, 600, 999);
    const gateway::Headers headers = GENERATE(gateway::Headers{}, gateway::Headers{{"receipt", "x"}}, gateway::Headers{{"not-run", "1"}});
    const std::string target = GENERATE(std::string("/once/x"), std::string("/stream/x"));
    const bool isForwarded = GENERATE(false, true);
    GatewayFixture fixture;
    fixture.start();
    std::shared_ptr<Answer> answer;
    if (isForwarded) {
        // An instance of an earlier build passes the status on.
        fixture.linkRemote("gw-9", "south");
        answer = fixture.ask("/south/x");
        const std::vector<gateway::ForwardRequest> sent = fixture.links.all<gateway::ForwardRequest>();
        REQUIRE(sent.size() == 1);
        fixture.gateway.received(core::InstanceId("gw-9"), gateway::ForwardHead{sent[0].number, {status, headers}});
        fixture.gateway.received(core::InstanceId("gw-9"), gateway::ForwardData{sent[0].number, 0, "body"});
        fixture.gateway.received(core::InstanceId("gw-9"), gateway::ForwardEnd{sent[0].number, 1});
    } else {
        answer = fixture.ask(target);
        const gateway::Number run = fixture.lastRun().run;
        fixture.gateway.runHead(run, {status, headers});
        fixture.gateway.runData(run, "body");
        fixture.gateway.runEnd(run, gateway::AnswerEnd::Framed);
        CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{run});
    }
    CHECK(answer->status == 502);
    CHECK(answer->finalCount == 1);
    CHECK(answer->body != "body");
    CHECK(fixture.runs.sent.size() == (isForwarded ? 0 : 1));
}

TEST_CASE("an answer with a status outside 100 to 599 is told to the origin of a forwarded request as failed")
{
    const bool isStream = GENERATE(false, true);
    const gateway::Headers headers = GENERATE(gateway::Headers{}, gateway::Headers{{"receipt", "x"}}, gateway::Headers{{"not-run", "1"}});
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.id = core::RequestId("r1");
    request.request.http = {"POST", "/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.isStream = isStream;
    request.timeLeft = absl::Seconds(5);
    fixture.gateway.received(core::InstanceId("gw-9"), request);
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.runHead(run, {0, headers});
    fixture.gateway.runEnd(run, gateway::AnswerEnd::Framed);
    CHECK(fixture.links.all<gateway::ForwardHead>().empty());
    CHECK(fixture.links.all<gateway::ForwardEnd>().empty());
    const std::vector<gateway::ForwardFailed> failed = fixture.links.all<gateway::ForwardFailed>();
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].mayHaveRun);
}

// Failure: what a run that broke off had sent reaches the caller as a whole answer.
TEST_CASE("what came of an answer that broke off is no whole answer, for streams and plain answers, here and forwarded")
{
    const gateway::Headers headers = GENERATE(gateway::Headers{}, gateway::Headers{{"receipt", "x"}});
    const bool isStream = GENERATE(false, true);
    const bool isForwarded = GENERATE(false, true);
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    if (!isForwarded) {
        const std::shared_ptr<Answer> answer = fixture.ask(isStream ? "/stream/x" : "/once/x");
        const gateway::Number run = fixture.lastRun().run;
        fixture.gateway.runHead(run, {200, headers});
        fixture.gateway.runData(run, event(1));
        fixture.gateway.runFailed(run, true, gateway::REASON_ANSWER_BROKEN_OFF);
        CHECK(answer->finalCount == 1);
        CHECK_FALSE(answer->isComplete);
        CHECK((answer->isBrokenOff || answer->status == 502));
        return;
    }
    gateway::ForwardRequest request;
    request.number = 5;
    request.request.id = core::RequestId("r1");
    request.request.http = {"POST", "/x", {}, ""};
    request.service = core::ServiceId("booking");
    request.isStream = isStream;
    request.timeLeft = absl::Seconds(5);
    fixture.gateway.received(core::InstanceId("gw-9"), request);
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.runHead(run, {200, headers});
    fixture.gateway.runData(run, event(1));
    fixture.gateway.runFailed(run, true, gateway::REASON_ANSWER_BROKEN_OFF);
    CHECK(fixture.links.all<gateway::ForwardEnd>().empty());
    REQUIRE(fixture.links.all<gateway::ForwardFailed>().size() == 1);
    CHECK(fixture.links.all<gateway::ForwardFailed>()[0].mayHaveRun);
}
