#include "snipeferry/core/timerservice.h"

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace snipeferry;

TEST_CASE("virtual timers run in order of due time")
{
    core::VirtualTimerService timers;
    std::vector<int> order;
    const core::Subscription late = timers.after(absl::Seconds(2), [&] { order.push_back(2); });
    const core::Subscription early = timers.after(absl::Seconds(1), [&] { order.push_back(1); });
    timers.advance(absl::Seconds(3));
    CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a cancelled timer does not run")
{
    core::VirtualTimerService timers;
    int runs = 0;
    core::Subscription timer = timers.every(absl::Seconds(1), [&] { ++runs; });
    timers.advance(absl::Seconds(2));
    timer.cancel();
    timers.advance(absl::Seconds(5));
    CHECK(runs == 2);
}

TEST_CASE("a timer may cancel itself while it runs")
{
    core::VirtualTimerService timers;
    int runs = 0;
    core::Subscription timer;
    timer = timers.every(absl::Seconds(1), [&] {
        ++runs;
        timer.cancel();
    });
    timers.advance(absl::Seconds(5));
    CHECK(runs == 1);
}

TEST_CASE("periods missed while frozen are not made up for")
{
    core::VirtualTimerService timers;
    int runs = 0;
    const core::Subscription timer = timers.every(absl::Seconds(1), [&] { ++runs; });
    timers.freeze(absl::Seconds(10));
    timers.advance(absl::Milliseconds(1));
    CHECK(runs == 1);
}

TEST_CASE("every error kind has an answer in the table and its name maps back to it")
{
    for (int i = 0; i <= static_cast<int>(core::ErrorKind::Internal); ++i) {
        const core::ErrorKind kind = static_cast<core::ErrorKind>(i);
        CHECK(core::errorAnswer(kind).kind == kind);
        CHECK(core::errorKindByName(core::errorAnswer(kind).name) == kind);
    }
}

TEST_CASE("log values with spaces, quotes or control characters are quoted")
{
    core::LogEvent event{"route_chosen", {}};
    event.with("request", "r-1").with("reason", "two words").with("text", "a\"b\nc");
    CHECK(core::formatLogLine(event) == "event=route_chosen request=r-1 reason=\"two words\" text=\"a\\\"b\\x0ac\"");
}
