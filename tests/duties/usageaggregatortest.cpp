#include "snipeferry/duties/usageaggregator.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

constexpr absl::Duration WINDOW = absl::Seconds(5);

struct Region
{
    Region()
        : timers(absl::FromUnixSeconds(1'700'000'000)),
          aggregator(timers, WINDOW)
    {
        timers.advance(absl::Seconds(10));
    }

    void tell(const std::string &instance, std::uint64_t process, std::int64_t count, absl::Duration skew = absl::ZeroDuration())
    {
        const duties::WindowNumber window = duties::windowAt(timers.now(), WINDOW);
        aggregator.note(core::InstanceId(instance), {process, absl::ToUnixMillis(timers.now() + skew), {{window, {{"bar", count}}}}});
    }

    std::vector<duties::WindowUsage> closed(bool seesRegion = true)
    {
        std::vector<duties::WindowUsage> all = aggregator.takeClosed(seesRegion);
        std::vector<duties::WindowUsage> told;
        for (const duties::WindowUsage &usage : all) {
            if (!usage.counts.empty()) {
                told.push_back(usage);
            }
        }
        return told;
    }

    core::VirtualTimerService timers;
    duties::UsageAggregator aggregator;
};

} // namespace

TEST_CASE("the sums of a window contain what a killed instance had told, and both processes of a restarted one")
{
    Region region;
    const duties::WindowNumber window = duties::windowAt(region.timers.now(), WINDOW);
    region.tell("a", 1, 10);
    region.tell("killed", 1, 4);
    region.timers.advance(absl::Seconds(2));
    region.tell("a", 1, 25);
    region.tell("a", 2, 3);
    region.timers.advance(absl::Seconds(4));
    CHECK(region.closed().empty());
    region.timers.advance(absl::Milliseconds(500));
    CHECK(region.closed() == std::vector<duties::WindowUsage>{{window, {{"bar", 32}}}});
    // Each window once, unless the store may have lost it.
    CHECK(region.closed().empty());
    region.aggregator.storeReturned();
    CHECK(region.closed().size() == 1);
}

TEST_CASE("an instance that is cut off from most of its region leaves the writing to the other part first")
{
    Region region;
    region.tell("a", 1, 10);
    region.timers.advance(absl::Seconds(8));
    CHECK(region.closed(false).empty());
    region.timers.advance(absl::Seconds(1));
    CHECK(region.closed(false).size() == 1);
}

TEST_CASE("one instance with a wrong clock closes no window early")
{
    Region region;
    for (int second = 0; second < 5; ++second) {
        region.tell("a", 1, 10);
        region.tell("b", 1, 10);
        region.tell("fast", 1, 10, absl::Seconds(5));
        CHECK(region.closed().empty());
        region.timers.advance(absl::Seconds(1));
    }
}

TEST_CASE("a process that has just started writes no sums, since it has not heard of the others yet")
{
    core::VirtualTimerService timers(absl::FromUnixSeconds(1'700'000'004));
    duties::UsageAggregator aggregator(timers, WINDOW);
    timers.advance(absl::Seconds(3));
    CHECK(aggregator.takeClosed(true).empty());
    timers.advance(absl::Seconds(1));
    CHECK(aggregator.takeClosed(true).size() == 1);
}

TEST_CASE("a jump of the wall clock moves no counts")
{
    struct JumpingTimers : core::VirtualTimerService
    {
        absl::Time wallNow() const override
        {
            return now() + jump;
        }
        absl::Duration jump;
    } timers;
    duties::UsageCounter counter(timers, WINDOW);
    for (int second = 0; second < 10; ++second) {
        counter.tick();
        timers.advance(absl::Seconds(1));
    }
    timers.jump = absl::Seconds(5);
    counter.tick();
    counter.began("bar", timers.now());
    CHECK(counter.lastWindows() == std::vector<duties::WindowUsage>{{duties::windowAt(timers.now(), WINDOW), {{"bar", 1}}}});
}
