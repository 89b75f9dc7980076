#include "snipeferry/net/processname.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

// Failure (TWICE): the runs of a restarted instance had the numbers of its earlier process's runs.
TEST_CASE("two processes of an instance have different names and run numbers, even if they start in the same millisecond")
{
    const absl::Time now = absl::FromUnixMillis(1'796'500'000'000);
    gateway::GatewaySettings first;
    gateway::GatewaySettings second;
    net::nameProcess(first, now);
    net::nameProcess(second, now);
    CHECK(first.self.incarnation == second.self.incarnation);
    CHECK(first.self.process() != second.self.process());
    CHECK(first.self.bootId != 0);
    const gateway::Number distance
        = first.firstRunNumber > second.firstRunNumber ? first.firstRunNumber - second.firstRunNumber : second.firstRunNumber - first.firstRunNumber;
    CHECK(distance > 1'000'000'000);
    CHECK(first.firstRunNumber > 0);
}
