#include "fixture.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

// Load: backend servers that fail if they have to turn many requests away, and say so in their answers.
namespace {

const gateway::Headers BRITTLE = {{"receipt", "x"}, {"brittle", "2"}};
const gateway::Headers BRITTLE_AND_FULL = {{"not-run", "x"}, {"brittle", "2"}};
/** Most of the six slots of a backend server. */
constexpr int USED_SLOTS = 5;

std::ptrdiff_t runsAt(const GatewayFixture &fixture, const std::string &server, std::size_t since = 0)
{
    return std::count_if(fixture.runs.sent.begin() + static_cast<std::ptrdiff_t>(since), fixture.runs.sent.end(),
        [&server](const SentRun &run) { return run.server.value() == server; });
}

/** A fixture with two backend servers, of which one has answered with the given headers. */
struct BrittleFixture : GatewayFixture
{
    explicit BrittleFixture(const gateway::Headers &answer)
    {
        start();
        answerOne(answer);
    }

    void answerOne(const gateway::Headers &headers)
    {
        last = ask("/any/1");
        server = lastRun().server.value();
        sentBefore = runs.sent.size();
        const bool isRefusal = headers.front().name == "not-run";
        const gateway::Number run = lastRun().run;
        gateway.runHead(run, {isRefusal ? 503 : 200, headers});
        if (!isRefusal) {
            gateway.runEnd(run, gateway::AnswerEnd::Framed);
        }
    }

    void askMany(int count)
    {
        for (int request = 0; request < count; ++request) {
            ask("/any/1");
        }
    }

    std::shared_ptr<Answer> last;
    std::string server;
    std::size_t sentBefore = 0;
};

} // namespace

// Failure: what a full and brittle backend server turned away goes round the others of its service, which fail of it in turn (LIMIT).
TEST_CASE("what a brittle backend server turns away is refused at once and not sent to others of its service")
{
    BrittleFixture fixture(BRITTLE_AND_FULL);
    CHECK(fixture.runs.sent.size() == fixture.sentBefore);
    REQUIRE(fixture.last->error.has_value());
    CHECK(fixture.last->error->kind == core::ErrorKind::Overloaded);
    CHECK(fixture.last->error->retryAfter.value_or(absl::ZeroDuration()) >= absl::Seconds(1));
}

TEST_CASE("a brittle backend server that has turned a request away gets nothing for a second")
{
    BrittleFixture fixture(BRITTLE_AND_FULL);
    const std::size_t before = fixture.runs.sent.size();
    fixture.askMany(3);
    fixture.timers.advance(absl::Milliseconds(900));
    fixture.confirm();
    fixture.askMany(1);
    CHECK(runsAt(fixture, fixture.server, before) == 0);
    CHECK(fixture.runs.sent.size() == before + 4);
}

// Failure: brittle backend servers get more than they have room for, turn it away and fail (LIMIT).
TEST_CASE("brittle backend servers get no more requests at once than most of their slots")
{
    BrittleFixture fixture(BRITTLE);
    const std::size_t before = fixture.runs.sent.size();
    fixture.askMany(40);
    // The other one is taken for brittle too, since nothing was heard of it.
    CHECK(runsAt(fixture, "s1", before) == USED_SLOTS);
    CHECK(runsAt(fixture, "s2", before) == USED_SLOTS);
}

TEST_CASE("the runs of other instances at a brittle backend server count")
{
    BrittleFixture fixture(BRITTLE);
    fixture.gateway.linkUp(GatewayFixture::member("gw-2", "north"));
    gateway::Pulse pulse;
    pulse.sentAt = 1;
    pulse.isReady = true;
    pulse.work = {{core::BackendServerId("s1"), 4}, {core::BackendServerId("s2"), 5}};
    fixture.gateway.received(core::InstanceId("gw-2"), pulse);
    const std::size_t before = fixture.runs.sent.size();
    fixture.askMany(40);
    CHECK(runsAt(fixture, "s1", before) == 1);
    CHECK(runsAt(fixture, "s2", before) == 0);
}

TEST_CASE("a backend server is brittle until its first answer that does not say so")
{
    BrittleFixture fixture(BRITTLE);
    const std::string first = fixture.server;
    do {
        fixture.answerOne({{"receipt", "x"}});
    } while (fixture.server != first);
    const std::size_t before = fixture.runs.sent.size();
    fixture.askMany(40);
    CHECK(runsAt(fixture, first, before) > USED_SLOTS);
}

TEST_CASE("an answer whose word on brittleness cannot be read changes nothing")
{
    BrittleFixture fixture(BRITTLE);
    const std::string first = fixture.server;
    do {
        fixture.answerOne({{"receipt", "x"}, {"brittle", "many"}});
    } while (fixture.server != first);
    const std::size_t before = fixture.runs.sent.size();
    fixture.askMany(40);
    CHECK(runsAt(fixture, first, before) == USED_SLOTS);
}

TEST_CASE("callers of a brittle service that is full are refused at once and told to come back later")
{
    BrittleFixture fixture(BRITTLE);
    fixture.askMany(2 * USED_SLOTS);
    const std::shared_ptr<Answer> refused = fixture.ask("/any/1");
    REQUIRE(refused->error.has_value());
    CHECK(refused->error->retryAfter.value_or(absl::ZeroDuration()) >= absl::Seconds(1));
}

TEST_CASE("backend servers that do not say that they are brittle are used as before")
{
    const gateway::Headers refusal = {{"not-run", "x"}};
    BrittleFixture fixture(refusal);
    CHECK(fixture.runs.sent.size() == fixture.sentBefore + 1);
    fixture.askMany(40);
    CHECK(fixture.runs.sent.size() == fixture.sentBefore + 41);
}
