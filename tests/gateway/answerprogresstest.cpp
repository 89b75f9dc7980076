#include "fixture.h"

#include <absl/strings/match.h>

using namespace snipeferry;
using namespace snipeferry::tests;

// Guards against a log that cannot tell which prompts were in work when a backend server crashed.
TEST_CASE("the log line of a failed run names the prompt's shared parts and how far the answer had come")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.ask("/stream/plan", {{"parts", "a1:100,b2:50,own:5"}});
    const gateway::Number run = fixture.lastRun().run;
    const int arrived = GENERATE(0, 1, 2, 3);
    if (arrived > 0) {
        fixture.gateway.runHead(run, {200, {{"receipt", "x"}}});
    }
    if (arrived == 2) {
        fixture.gateway.runData(run, "id: 1\nda");
    }
    if (arrived == 3) {
        fixture.gateway.runData(run, "id: 1\ndata: x\n\n");
    }
    fixture.gateway.runFailed(run, true, gateway::REASON_ANSWER_BROKEN_OFF);
    const auto line = std::find_if(
        fixture.journal.lines.begin(), fixture.journal.lines.end(), [](const std::string &text) { return absl::StrContains(text, "event=run_failed"); });
    REQUIRE(line != fixture.journal.lines.end());
    CHECK(absl::StrContains(*line, "shared_parts=a1,b2"));
    CHECK(absl::StrContains(*line, absl::StrCat("progress=", arrived == 0 ? "not_begun" : (arrived < 3 ? "begun" : "writing"))));
}
