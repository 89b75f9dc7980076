#include "snipeferry/observability/requesttrace.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace snipeferry::observability;

TEST_CASE("a request trace is merged from the logs of several instances in order of time")
{
    std::istringstream firstLog("time_ms=100 event=forwarded request=r1 instance=b\n"
                                "time_ms=101 event=forwarded request=r12 instance=b\n"
                                "garbage request=r1\n"
                                "time_ms=x event=forwarded request=r1\n"
                                "time_ms=300 level=warning event=request_refused request=r1 kind=overloaded\n");
    std::istringstream secondLog("   12.5 front-b time_ms=200 event=forward_refused from=a request=r1 reason=overloaded\n");
    RequestTrace trace("r1");
    trace.read(firstLog, "a.log");
    trace.read(secondLog, "b.log");
    const std::vector<TraceLine> lines = trace.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].text == "event=forwarded request=r1 instance=b");
    CHECK(lines[0].source == "a.log");
    CHECK(lines[1].source == "b.log 12.5 front-b");
    CHECK(lines[1].timeMs == 200);
    CHECK(lines[2].text == "level=warning event=request_refused request=r1 kind=overloaded");
}
