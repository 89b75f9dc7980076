#include "usersfixture.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <algorithm>

// Runners that crash on a prompt part, and runners that name a limit, behind a real gateway process.
using namespace snipeferry;
using namespace snipeferry::testing;

namespace {

constexpr absl::Duration START_LIMIT = absl::Seconds(10);
constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(100);
const std::string CRASHING_PART = "badbad01";
const std::string CRASHING_PARTS = "5c1e07a2:80," + CRASHING_PART + ":40,0wn00001:20";

int runsWith(UsersFixture &fixture, const std::string &part)
{
    const std::vector<standins::RunSeen> runs = fixture.allRuns();
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&part](const standins::RunSeen &run) {
        return std::any_of(run.request.headers.begin(), run.request.headers.end(),
            [&part](const gateway::Header &header) { return absl::EqualsIgnoreCase(header.name, "Prompt-Prefix") && absl::StrContains(header.value, part); });
    }));
}

} // namespace

// Guards against crashes that the decision never hears of, because connections of real processes end in ways that no fake shows (BUDGET).
TEST_CASE("a real gateway refuses requests with a part that has crashed three runners, and serves all others")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.setCrashingPart({"i-e1", "i-e2"}, CRASHING_PART);
    const auto isRefused = [&fixture] {
        const UsersAnswer answer = fixture.ask("/answer/x", "k-bar-1", 1000, CRASHING_PARTS);
        fixture.ask("/answer/x", "k-bar-1", 1000);
        return answer.answer.status == 503 && absl::StrContains(answer.answer.body, "A part of the prompt crashes backend servers");
    };
    REQUIRE(UsersFixture::eventually(isRefused, absl::Seconds(30)));
    const int runs = runsWith(fixture, CRASHING_PART);
    CHECK(runs >= 3);
    // The runners that crashed last are back then.
    absl::SleepFor(absl::Seconds(2));
    for (int request = 0; request < 20; ++request) {
        const UsersAnswer answer = fixture.ask("/plan/x", "k-bar-2", 1000, CRASHING_PARTS);
        CHECK(answer.answer.status == 503);
        CHECK(http::headerValue(answer.answer.headers, "Retry-After").empty());
        CHECK(UsersFixture::isWhole("/plan/x", fixture.ask("/plan/x", "k-bar-2")));
    }
    CHECK(runsWith(fixture, CRASHING_PART) == runs);
}

// Guards against a limit that is lost between the wire and the decision (LIMIT).
TEST_CASE("a real gateway keeps the limit that a runner names, and serves all requests elsewhere")
{
    constexpr absl::Duration CONTACT_TIME = absl::Seconds(5);
    constexpr absl::Duration LIMIT_SPAN = absl::Seconds(4);
    constexpr int ALLOWED = 11;
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.onStandins([&fixture] { fixture.runner("i-e1").setRequestLimit(1.0); });
    const absl::Time from = absl::Now() + CONTACT_TIME;
    int whole = 0;
    int sent = 0;
    while (absl::Now() < from + absl::Seconds(8)) {
        whole += UsersFixture::isWhole("/answer/x", fixture.ask("/answer/x")) ? 1 : 0;
        ++sent;
        absl::SleepFor(REQUEST_PERIOD);
    }
    CHECK(whole == sent);
    std::vector<absl::Time> arrivals;
    for (const standins::RunSeen &run : fixture.allRuns()) {
        if (run.runner == "i-e1" && run.at >= from) {
            arrivals.push_back(run.at);
        }
    }
    for (std::size_t first = 0; first < arrivals.size(); ++first) {
        const auto end = std::lower_bound(arrivals.begin(), arrivals.end(), arrivals[first] + LIMIT_SPAN);
        CHECK(end - arrivals.begin() - static_cast<std::ptrdiff_t>(first) <= ALLOWED);
    }
}
