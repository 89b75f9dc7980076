#include "fixture.h"

#include <absl/strings/match.h>

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** Value of a reading; -1000 if there is no such reading. */
double valueOf(GatewayFixture &fixture, const std::string &name, const std::string &label = "")
{
    const std::vector<gateway::Reading> all = fixture.gateway.readings();
    const auto found = std::find_if(all.begin(), all.end(), [&](const gateway::Reading &reading) { return reading.name == name && reading.label == label; });
    return found == all.end() ? -1000 : found->value;
}

} // namespace

TEST_CASE("readings include each topic copy's age, the backend servers, and the remaining tokens and repeats")
{
    GatewayFixture fixture;
    CHECK(valueOf(fixture, "ready") == 0);
    CHECK(valueOf(fixture, "topic_age_seconds", "operator") == -1);
    fixture.start();
    gateway::Deployment limited = GatewayFixture::deployment(2);
    limited.customers[0].ratePerSecond = 100;
    limited.customers[0].burst = 100;
    fixture.deploy(limited);
    fixture.timers.advance(absl::Milliseconds(500));
    CHECK(valueOf(fixture, "ready") == 1);
    CHECK(valueOf(fixture, "topic_age_seconds", "operator") >= 0.5);
    CHECK(valueOf(fixture, "backend_servers_working", "booking") == 2);
    CHECK(valueOf(fixture, "backend_servers_resting", "booking") == 0);
    CHECK(valueOf(fixture, "repeats_left", "booking") > 0);
    CHECK(valueOf(fixture, "instances_known") == 1);
    CHECK(valueOf(fixture, "deployment_version") == 2);
    // A started process that knows no other instance waits for some before it takes all tokens for itself.
    CHECK(valueOf(fixture, "allowance_tokens", "bar") == 0);
    fixture.timers.advance(absl::Seconds(2));
    CHECK(valueOf(fixture, "allowance_tokens", "bar") >= 50);
}

TEST_CASE("each request's time to its first piece and to its end is observed")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.ask("/any/x");
    fixture.timers.advance(absl::Milliseconds(40));
    fixture.succeed("answer");
    REQUIRE(fixture.journal.times["request_seconds"].size() == 1);
    CHECK(fixture.journal.times["request_seconds"][0] == absl::Milliseconds(40));
    CHECK(fixture.journal.times["first_answer_seconds"].size() == 1);
    CHECK(fixture.journal.counts["runs_started_total"] == 1);
    // The log line contains both times, because a stream can be late with its first piece or with its end.
    CHECK(absl::StrContains(fixture.journal.lines.back(), "first_ms=40 total_ms=40"));
}
