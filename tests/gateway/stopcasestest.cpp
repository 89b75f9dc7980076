#include "fixture.h"

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: planned stops in calm, with requests at each moment of the grace.
namespace {

/** A gateway that was told to stop in seven seconds, beside another one of its region that goes on. */
struct StoppingFixture : GatewayFixture
{
    explicit StoppingFixture(bool isLast = false)
    {
        start();
        if (!isLast) {
            linkRemote("gw-2", "north");
        }
        linkRemote("gw-s", "south");
        gateway.drain(absl::Seconds(7));
    }

    void pass(absl::Duration time)
    {
        timers.advance(time);
        confirm();
    }

    gateway::ForwardRequest forwarded(absl::Duration timeLeft, bool isRepeatable) const
    {
        gateway::ForwardRequest forward;
        forward.number = 1;
        forward.request.http = {"POST", "/once/1", {}, "body"};
        forward.request.id = core::RequestId("f1");
        forward.service = core::ServiceId("booking");
        forward.isRepeatable = isRepeatable;
        forward.timeLeft = timeLeft;
        return forward;
    }
};

} // namespace

// Failure: an instance that stops takes a forwarded request late in its grace and cuts it, also one that may not be repeated (LOST).
TEST_CASE("late in a planned stop a forwarded request is refused as not run")
{
    const bool isRepeatable = GENERATE(false, true);
    StoppingFixture fixture;
    fixture.pass(absl::Seconds(3));
    fixture.gateway.received(core::InstanceId("gw-s"), fixture.forwarded(absl::Seconds(2), isRepeatable));
    CHECK(fixture.runs.sent.empty());
    REQUIRE(fixture.links.all<gateway::ForwardFailed>().size() == 1);
    CHECK_FALSE(fixture.links.all<gateway::ForwardFailed>().front().mayHaveRun);
}

// Failure: of the requests that are taken at the start of a planned stop those with a long limit are cut at its end without an answer (LOST).
TEST_CASE("a request that is open shortly before the end of a planned stop gets an answer that is true")
{
    const std::string target = GENERATE(as<std::string>(), "/once/1", "/any/1", "/stream/1");
    StoppingFixture fixture(true);
    fixture.pass(absl::Seconds(1));
    const std::shared_ptr<Answer> answer = fixture.ask(target);
    REQUIRE(fixture.runs.sent.size() == 1);
    CHECK(fixture.lastRun().request.headers.size() >= 3);
    int limitMs = 0;
    REQUIRE(absl::SimpleAtoi(FakeHeaders::value(fixture.lastRun().request.headers, "time-limit"), &limitMs));
    CHECK(limitMs <= 6000);
    for (int step = 0; step < 58; ++step) {
        fixture.pass(absl::Milliseconds(100));
    }
    CHECK(answer->finalCount == 0);
    for (int step = 0; step < 2; ++step) {
        fixture.pass(absl::Milliseconds(100));
    }
    REQUIRE(answer->finalCount == 1);
    REQUIRE(answer->error.has_value());
    CHECK(answer->status == 504);
    CHECK(fixture.gateway.openCount() == 0);
}

// Failure: a request whose run fails late in a planned stop is sent once more, and that run is cut.
TEST_CASE("what is sent once more in a planned stop may not take longer than the stop")
{
    StoppingFixture fixture(true);
    fixture.pass(absl::Seconds(1));
    const std::shared_ptr<Answer> answer = fixture.ask("/any/1");
    fixture.pass(absl::Seconds(1));
    fixture.gateway.runFailed(fixture.lastRun().run, false, "connect_timeout");
    REQUIRE(fixture.runs.sent.size() == 2);
    int limitMs = 0;
    REQUIRE(absl::SimpleAtoi(FakeHeaders::value(fixture.lastRun().request.headers, "time-limit"), &limitMs));
    CHECK(limitMs <= 5000);
}

// Failure: an order to stop ends what can be served in its time.
TEST_CASE("a request that ends before the stop is served whole, at each moment of the grace")
{
    StoppingFixture fixture(true);
    int served = 0;
    for (int step = 0; step < 60; ++step) {
        fixture.pass(absl::Milliseconds(100));
        const std::size_t before = fixture.runs.sent.size();
        const std::shared_ptr<Answer> answer = fixture.ask("/once/1");
        if (fixture.runs.sent.size() > before) {
            fixture.succeed("x");
            CHECK(answer->status == 200);
            ++served;
        } else {
            REQUIRE(answer->error.has_value());
            CHECK(answer->error->kind == core::ErrorKind::InstanceDraining);
        }
    }
    CHECK(served >= 20);
}
