#include "fixture.h"

using namespace snipeferry;
using namespace snipeferry::tests;

TEST_CASE("a call that must run at most once is not sent again after its connection broke")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    fixture.gateway.runFailed(fixture.lastRun().run, true, "no_answer");
    CHECK(fixture.runs.sent.size() == 1);
    CHECK(answer->status == 502);
    CHECK(answer->finalCount == 1);
}

TEST_CASE("a call of which no byte was sent goes to another backend server")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    const core::BackendServerId first = fixture.lastRun().server;
    fixture.gateway.runFailed(fixture.lastRun().run, false, "connect_failed");
    REQUIRE(fixture.runs.sent.size() == 2);
    CHECK(fixture.lastRun().server != first);
    fixture.succeed("done");
    CHECK(answer->status == 200);
    CHECK(answer->body == "done");
}

TEST_CASE("a request that every backend server refused is answered as not run, with a retry-after time")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    fixture.gateway.runHead(fixture.lastRun().run, {503, {{"not-run", "1"}}});
    fixture.gateway.runHead(fixture.lastRun().run, {503, {{"not-run", "1"}}});
    CHECK(fixture.runs.sent.size() == 2);
    CHECK(answer->status == 503);
    REQUIRE(answer->error.has_value());
    CHECK(answer->error->ranState == core::RanState::NotRun);
    CHECK(answer->error->retryAfter.has_value());
}

TEST_CASE("a backend server's refusal that does not state that nothing ran promises nothing to the caller")
{
    GatewayFixture fixture;
    fixture.start();
    const int status = GENERATE(503, 429, 408);
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    fixture.gateway.runHead(fixture.lastRun().run, {status, {{"receipt", "x"}}});
    CHECK(answer->status == 502);
    CHECK(fixture.runs.sent.size() == 1);
}

TEST_CASE("an idempotent call that failed runs once more, within the route's attempts")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/any/stock");
    fixture.gateway.runHead(fixture.lastRun().run, {500, {{"receipt", "x"}}});
    REQUIRE(fixture.runs.sent.size() == 2);
    const gateway::Number second = fixture.lastRun().run;
    fixture.gateway.runHead(second, {500, {{"receipt", "x"}}});
    fixture.gateway.runData(second, "failed");
    fixture.gateway.runEnd(second, gateway::AnswerEnd::Framed);
    CHECK(fixture.runs.sent.size() == 2);
    CHECK(answer->status == 500);
    CHECK(answer->body == "failed");
}

TEST_CASE("a success status without a receipt counts as a failure")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    fixture.gateway.runHead(fixture.lastRun().run, {200, {}});
    CHECK(answer->status == 502);
}

TEST_CASE("an interrupted stream is resumed after its last complete event, without a gap or a repeated event")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/plan");
    const gateway::Number first = fixture.lastRun().run;
    fixture.gateway.runHead(first, {200, {{"receipt", "first"}}});
    fixture.gateway.runData(first, "id: 1\ndata: a\n\nid: 2\nda");
    fixture.gateway.runFailed(first, true, "answer_broken_off");
    REQUIRE(fixture.runs.sent.size() == 2);
    CHECK(FakeHeaders::value(fixture.lastRun().request.headers, "resume") == "1");
    const gateway::Number second = fixture.lastRun().run;
    fixture.gateway.runHead(second, {200, {{"receipt", "second"}}});
    fixture.gateway.runData(second, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    fixture.gateway.runEnd(second, gateway::AnswerEnd::Framed);
    CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(answer->isComplete);
    CHECK(answer->finalCount == 1);
}

// Guards against the text of an error, or of an answer that is no stream, in the middle of a caller's stream, and against one that ends as if it were complete.
TEST_CASE("a stream ends as broken off, at its whole events, if the server that should go on with it answers with anything else")
{
    struct Continuation
    {
        int status;
        std::string contentType;
        std::string body;
        gateway::AnswerEnd end;
    };
    const std::string stream = "text/event-stream";
    const Continuation continuation = GENERATE_COPY(Continuation{404, "text/plain", "no such thing", gateway::AnswerEnd::Framed},
        Continuation{500, "text/plain", "id: 2\ndata: oops\n\n", gateway::AnswerEnd::Framed},
        Continuation{503, "text/plain", "full", gateway::AnswerEnd::Framed},
        Continuation{200, "application/json", R"({"error":"x"})", gateway::AnswerEnd::Framed},
        Continuation{200, "application/json", "{\"error\":\n\n\"x\"}", gateway::AnswerEnd::ConnectionClosed},
        Continuation{204, stream, "", gateway::AnswerEnd::Framed}, Continuation{200, stream, "id: 2\nda", gateway::AnswerEnd::Framed},
        Continuation{200, stream, "id: 2\nda", gateway::AnswerEnd::ConnectionClosed}, Continuation{200, stream, "", gateway::AnswerEnd::ConnectionClosed});
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/resume/plan");
    const gateway::Number first = fixture.lastRun().run;
    fixture.gateway.runHead(first, {200, {{"receipt", "first"}, {"Content-Type", stream}}});
    fixture.gateway.runData(first, "id: 1\ndata: a\n\n");
    fixture.gateway.runFailed(first, true, "answer_broken_off");
    REQUIRE(fixture.runs.sent.size() == 2);
    const gateway::Number second = fixture.lastRun().run;
    fixture.gateway.runHead(second, {continuation.status, {{"receipt", "second"}, {"Content-Type", continuation.contentType}}});
    fixture.gateway.runData(second, continuation.body);
    fixture.gateway.runEnd(second, continuation.end);
    INFO("status " << continuation.status << " body " << continuation.body);
    CHECK(answer->body == "id: 1\ndata: a\n\n");
    CHECK(answer->isBrokenOff);
    CHECK_FALSE(answer->isComplete);
    CHECK(answer->finalCount == 1);
}

TEST_CASE("a stream that may not be resumed breaks off and never looks complete")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/stream/answer");
    const gateway::Number run = fixture.lastRun().run;
    fixture.gateway.runHead(run, {200, {{"receipt", "x"}}});
    fixture.gateway.runData(run, "id: 1\ndata: a\n\n");
    fixture.gateway.runFailed(run, true, "answer_broken_off");
    CHECK(answer->isBrokenOff);
    CHECK_FALSE(answer->isComplete);
    CHECK(fixture.runs.sent.size() == 1);
}

TEST_CASE("a run is cancelled when the caller closes its connection")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.ask("/once/reserve");
    fixture.gateway.requests().callerLeft(fixture.lastRequest);
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{fixture.lastRun().run});
    CHECK(fixture.gateway.openCount() == 0);
}

TEST_CASE("a request is answered at its route's time limit, and its run ends")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> answer = fixture.ask("/once/reserve");
    fixture.timers.advance(absl::Milliseconds(10'100));
    CHECK(answer->status == 504);
    CHECK(fixture.runs.cancelled.size() == 1);
}

TEST_CASE("a repeatable run that sends no data is replaced by another one")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.ask("/any/stock");
    const core::BackendServerId first = fixture.lastRun().server;
    fixture.timers.advance(absl::Milliseconds(1700));
    REQUIRE(fixture.runs.sent.size() == 2);
    CHECK(fixture.runs.cancelled.size() == 1);
    CHECK(fixture.lastRun().server != first);
}

TEST_CASE("a run that must happen at most once is not cancelled when it sends no data")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.ask("/once/reserve");
    fixture.timers.advance(absl::Seconds(9));
    CHECK(fixture.runs.sent.size() == 1);
    CHECK(fixture.runs.cancelled.empty());
}

TEST_CASE("a key is accepted only while the deployment is confirmed, and open routes do not depend on that")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.confirm();
    CHECK(fixture.ask("/keyed/x", {{"key", "bar-key"}})->finalCount == 0);
    fixture.timers.advance(absl::Milliseconds(4800));
    const std::shared_ptr<Answer> late = fixture.ask("/keyed/x", {{"key", "bar-key"}});
    CHECK(late->status == 503);
    CHECK(fixture.ask("/once/x")->finalCount == 0);
}

TEST_CASE("an instance that was suspended checks the age of its deployment before it accepts a key")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.confirm();
    fixture.timers.freeze(absl::Seconds(20));
    CHECK(fixture.ask("/keyed/x", {{"key", "bar-key"}})->status == 503);
    CHECK(fixture.runs.sent.empty());
}

TEST_CASE("an unknown key or route is refused for good only by a fresh deployment")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.confirm();
    CHECK(fixture.ask("/keyed/x", {{"key", "other"}})->status == 401);
    CHECK(fixture.ask("/nowhere/")->status == 404);
    fixture.timers.advance(absl::Seconds(3));
    CHECK(fixture.ask("/keyed/x", {{"key", "other"}})->status == 503);
    CHECK(fixture.ask("/nowhere/")->status == 503);
}

TEST_CASE("the backend server learns the customer of the key")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.confirm();
    fixture.ask("/keyed/x", {{"key", "bar-key"}});
    CHECK(FakeHeaders::value(fixture.lastRun().request.headers, "customer") == "bar");
}

TEST_CASE("a request that may run only in another region is forwarded there, or refused without a run")
{
    GatewayFixture fixture;
    fixture.start();
    const std::shared_ptr<Answer> refused = fixture.ask("/south/x");
    CHECK(refused->status == 503);
    fixture.linkRemote("gw-9", "south");
    fixture.ask("/south/x");
    CHECK(fixture.runs.sent.empty());
    REQUIRE(fixture.links.all<gateway::ForwardRequest>().size() == 1);
}

TEST_CASE("the answer to a forwarded request is passed on completely, and a lost piece fails it")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const std::shared_ptr<Answer> answer = fixture.ask("/south/x");
    const core::InstanceId peer("gw-9");
    const gateway::Number number = fixture.links.all<gateway::ForwardRequest>().front().number;
    fixture.gateway.received(peer, gateway::ForwardHead{number, {200, {{"receipt", "x"}}}});
    SECTION("complete answer")
    {
        fixture.gateway.received(peer, gateway::ForwardData{number, 0, "one "});
        fixture.gateway.received(peer, gateway::ForwardData{number, 1, "two"});
        fixture.gateway.received(peer, gateway::ForwardEnd{number, 2});
        CHECK(answer->body == "one two");
    }
    SECTION("piece lost")
    {
        fixture.gateway.received(peer, gateway::ForwardData{number, 1, "two"});
        CHECK(answer->status == 502);
    }
    SECTION("answer of another instance")
    {
        fixture.gateway.received(core::InstanceId("gw-8"), gateway::ForwardEnd{number, 0});
        CHECK(answer->finalCount == 0);
    }
    SECTION("link lost")
    {
        // The other instance may only be silent, and the request may not be repeated.
        fixture.gateway.linkDown(peer);
        CHECK(answer->finalCount == 0);
        fixture.timers.advance(absl::Seconds(10));
        CHECK(answer->status == 504);
        CHECK_FALSE(answer->isComplete);
        CHECK(answer->finalCount == 1);
    }
}

// Failure (LOST): what the other instance sent on a new link before it was asked for the rest was taken for the rest, and the answer broken off for the gap.
TEST_CASE("an answer that goes on over a new link is whole, whatever of it comes before the part that was asked for")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const std::shared_ptr<Answer> answer = fixture.ask("/south/x");
    const core::InstanceId peer("gw-9");
    const gateway::Number number = fixture.links.all<gateway::ForwardRequest>().front().number;
    const gateway::ForwardHead head{number, {200, {{"receipt", "x"}}}};
    const std::vector<std::string> pieces = {"one ", "two ", "three ", "four"};
    const auto sendFrom = [&](std::size_t first) {
        for (std::size_t piece = first; piece < pieces.size(); ++piece) {
            fixture.gateway.received(peer, gateway::ForwardData{number, piece, pieces[piece]});
        }
    };
    // What has arrived when the link is lost: nothing, the head, or pieces.
    const int arrived = GENERATE(-1, 0, 1, 3);
    if (arrived >= 0) {
        fixture.gateway.received(peer, head);
    }
    for (int piece = 0; piece < arrived; ++piece) {
        fixture.gateway.received(peer, gateway::ForwardData{number, static_cast<std::uint64_t>(piece), pieces[static_cast<std::size_t>(piece)]});
    }
    const int losses = GENERATE(1, 2);
    for (int loss = 0; loss < losses; ++loss) {
        fixture.gateway.linkDown(peer);
        fixture.gateway.linkUp(GatewayFixture::member("gw-9", "south"));
    }
    const std::size_t received = static_cast<std::size_t>(std::max(arrived, 0));
    CHECK(fixture.links.all<gateway::ForwardResume>().back() == gateway::ForwardResume{number, arrived >= 0, received});

    // The other end goes on where it was, and may have ended, before it reads that something is missing here.
    const std::size_t goesOnAt = GENERATE(0U, 1U, 2U, 3U, 4U);
    const bool hasEnded = GENERATE(false, true);
    if (goesOnAt == 0) {
        fixture.gateway.received(peer, head);
    }
    sendFrom(std::max(goesOnAt, received));
    if (hasEnded) {
        fixture.gateway.received(peer, gateway::ForwardEnd{number, pieces.size()});
    }
    // The part that was asked for.
    if (arrived < 0) {
        fixture.gateway.received(peer, head);
    }
    sendFrom(received);
    fixture.gateway.received(peer, gateway::ForwardEnd{number, pieces.size()});
    CHECK(answer->status == 200);
    CHECK(answer->body == "one two three four");
    CHECK(answer->isComplete);
    CHECK(answer->finalCount == 1);
}

TEST_CASE("a forwarded request runs here or is refused and is never forwarded again")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    fixture.links.sent.clear();
    gateway::ForwardRequest forward;
    forward.number = 7;
    forward.service = core::ServiceId("booking");
    forward.timeLeft = absl::Seconds(2);
    SECTION("runs here")
    {
        fixture.gateway.received(core::InstanceId("gw-9"), forward);
        CHECK(fixture.runs.sent.size() == 1);
    }
    SECTION("region not permitted")
    {
        forward.homeRegions = {core::RegionId("south")};
        fixture.gateway.received(core::InstanceId("gw-9"), forward);
        CHECK(fixture.runs.sent.empty());
        REQUIRE(fixture.links.all<gateway::ForwardFailed>().size() == 1);
        CHECK_FALSE(fixture.links.all<gateway::ForwardFailed>().front().mayHaveRun);
    }
    SECTION("no backend server")
    {
        fixture.withdraw("s1");
        fixture.withdraw("s2");
        fixture.gateway.received(core::InstanceId("gw-9"), forward);
        CHECK(fixture.links.all<gateway::ForwardRequest>().empty());
        REQUIRE(fixture.links.all<gateway::ForwardFailed>().size() == 1);
    }
    SECTION("the origin cancels")
    {
        fixture.gateway.received(core::InstanceId("gw-9"), forward);
        fixture.gateway.received(core::InstanceId("gw-9"), gateway::ForwardCancel{7});
        CHECK(fixture.runs.cancelled.size() == 1);
    }
}

TEST_CASE("a draining instance serves callers until cached directory answers expire, then refuses them if others are ready")
{
    // The instances of a region stop one after the other, two seconds apart, while streams of five seconds are running.
    GatewayFixture fixture;
    fixture.start();
    fixture.gateway.drain(absl::Seconds(7));
    CHECK_FALSE(fixture.gateway.isReady());
    CHECK(fixture.ask("/once/x")->finalCount == 0);
    fixture.timers.advance(absl::Seconds(3));
    fixture.confirm();
    SECTION("another instance of the region is ready")
    {
        fixture.linkRemote("gw-2", "north");
        const std::shared_ptr<Answer> answer = fixture.ask("/once/x");
        CHECK(answer->status == 503);
        CHECK(answer->error->kind == core::ErrorKind::InstanceDraining);
    }
    SECTION("the last instance of its region refuses only requests that it could not finish")
    {
        CHECK(fixture.ask("/once/x")->status == 503);
        gateway::Deployment quick = GatewayFixture::deployment(2);
        quick.routes.front().timeout = absl::Seconds(2);
        fixture.deploy(quick);
        CHECK(fixture.ask("/once/x")->finalCount == 0);
    }
}

TEST_CASE("long streams that were forwarded do not make their region look overloaded")
{
    // A customer may only be served in another region. Its streams last for seconds, and short calls follow meanwhile.
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    for (int plan = 0; plan < 20; ++plan) {
        fixture.ask("/south/plan", {{"tokens", "12000"}});
        fixture.linkRemote("gw-9", "south");
    }
    const std::shared_ptr<Answer> call = fixture.ask("/south/x");
    CHECK(call->finalCount == 0);
    CHECK(fixture.links.all<gateway::ForwardRequest>().size() == 21);
}

TEST_CASE("a region at its peak forwards requests long before its own queue uses up the latency objective")
{
    // Many calls arrive at once in one region, while another region is idle.
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    while (fixture.links.all<gateway::ForwardRequest>().empty() && fixture.runs.sent.size() < 400) {
        fixture.ask("/once/x");
    }
    CHECK(fixture.runs.sent.size() < 200);
    CHECK(fixture.runs.sent.size() > 50);
}
