#include "snipeferry/overload/refusaldelay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace snipeferry;

// Guards against callers that are refused together and return together: the load here is 20,000 of them in one second.
TEST_CASE("the retries of 20,000 callers refused in one second are spread over an interval as long as their wait")
{
    constexpr int CALLERS = 20000;
    constexpr int INTERVALS = 20;
    overload::RefusalDelay delays(7);
    std::vector<int> returning(INTERVALS, 0);
    const absl::Duration excess = absl::Seconds(1);
    for (int caller = 0; caller < CALLERS; ++caller) {
        const std::optional<absl::Duration> delay = delays.choose(excess, absl::Seconds(12));
        REQUIRE(delay.has_value());
        REQUIRE(*delay >= excess);
        REQUIRE(*delay <= 2 * excess);
        ++returning[static_cast<std::size_t>(std::min<double>(INTERVALS - 1, absl::FDivDuration(*delay - excess, excess) * INTERVALS))];
    }
    CHECK(*std::max_element(returning.begin(), returning.end()) < 1.2 * CALLERS / INTERVALS);
    CHECK(*std::min_element(returning.begin(), returning.end()) > 0.8 * CALLERS / INTERVALS);
}

// Guards against times that bring a caller back at once, although nothing has changed.
TEST_CASE("a caller refused for a short wait or for its time limit returns no earlier than the shortest delay")
{
    overload::RefusalDelay delays(7);
    for (const absl::Duration excess : {absl::Milliseconds(20), absl::ZeroDuration(), -absl::Seconds(1)}) {
        const std::optional<absl::Duration> delay = delays.choose(excess, absl::Seconds(10));
        REQUIRE(delay.has_value());
        CHECK(*delay >= overload::RefusalDelay::MIN_DELAY);
        CHECK(*delay <= 2 * overload::RefusalDelay::MIN_DELAY);
    }
}

// Guards against callers that are told to return when they can no longer be served.
TEST_CASE("a refusal is final if the caller has too little time left for a second attempt")
{
    overload::RefusalDelay delays(7);
    CHECK_FALSE(delays.choose(absl::Milliseconds(100), absl::Seconds(1)).has_value());
    CHECK_FALSE(delays.choose(absl::Seconds(1), absl::Seconds(3)).has_value());
    CHECK_FALSE(delays.choose(absl::Seconds(1), -absl::Seconds(1)).has_value());
    for (int caller = 0; caller < 1000; ++caller) {
        const std::optional<absl::Duration> delay = delays.choose(absl::Milliseconds(700), absl::Seconds(4));
        CHECK((!delay.has_value() || *delay <= absl::Seconds(1)));
    }
}
