#include "snipeferry/gateway/serverpaths.h"

#include "fixture.h"

#include <algorithm>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

const core::ServiceId BOOKING("booking");

/** The paths to some backend servers of one service. */
struct PathsFixture
{
    explicit PathsFixture(int serverCount)
        : numbers(1),
          paths(
              1, timers, numbers, runs, journal, [this](const core::ServiceId & /*service*/) { return servers; },
              [this](const core::ServiceId & /*service*/) { ++changes; })
    {
        for (int number = 0; number < serverCount; ++number) {
            servers.push_back(GatewayFixture::server(absl::StrCat("s", number)));
        }
    }

    void fail(int server, const std::string &reason = gateway::REASON_CONNECT_REFUSED)
    {
        paths.noteFailedRun(servers[static_cast<std::size_t>(server)], reason);
    }

    /** Ends all checks that are under way; those of the named servers reach them. */
    void endChecks(const std::vector<std::string> &reached)
    {
        const auto open = std::exchange(runs.checks, {});
        for (const auto &check : open) {
            if (std::find(reached.begin(), reached.end(), check.second.value()) != reached.end()) {
                paths.runEnd(check.first, gateway::AnswerEnd::ConnectionClosed);
            } else {
                paths.runFailed(check.first, false, gateway::REASON_CONNECT_TIMEOUT);
            }
        }
    }

    void loseAll()
    {
        for (int server = 0; server < static_cast<int>(std::min<std::size_t>(3, servers.size())); ++server) {
            fail(server);
        }
        endChecks({});
    }

    core::VirtualTimerService timers;
    FakeRuns runs;
    FakeJournal journal;
    gateway::RunNumbers numbers;
    std::vector<gateway::BackendServer> servers;
    int changes = 0;
    gateway::ServerPaths paths;
};

} // namespace

TEST_CASE("an instance that reaches none of the checked backend servers is cut off from the service")
{
    PathsFixture fixture(6);
    fixture.fail(0);
    fixture.fail(1);
    CHECK(fixture.runs.checks.empty());
    fixture.fail(2, gateway::REASON_CONNECT_TIMEOUT);
    CHECK(fixture.runs.checks.size() == 3);
    CHECK(fixture.paths.isInDoubt(BOOKING));
    CHECK(fixture.paths.mayDispatch(BOOKING));
    fixture.endChecks({});
    CHECK(fixture.paths.isCutOff(BOOKING));
    CHECK_FALSE(fixture.paths.mayDispatch(BOOKING));
    CHECK(fixture.paths.lostServices() == std::vector<core::ServiceId>{BOOKING});
    CHECK(fixture.changes == 1);
}

TEST_CASE("backend servers that have crashed are not taken for a lost path while others can be reached")
{
    PathsFixture fixture(6);
    fixture.paths.noteAnswer(BOOKING, core::BackendServerId("s4"));
    fixture.timers.advance(absl::Milliseconds(10));
    for (int server = 0; server < 4; ++server) {
        fixture.fail(server);
    }
    // The one that answered last is among those that are checked.
    const auto isAnswering = [](const auto &check) {
        return check.second.value() == "s4";
    };
    REQUIRE(std::any_of(fixture.runs.checks.begin(), fixture.runs.checks.end(), isAnswering));
    fixture.endChecks({"s4"});
    CHECK_FALSE(fixture.paths.isInDoubt(BOOKING));
    CHECK(fixture.paths.mayDispatch(BOOKING));
    CHECK(fixture.changes == 0);
}

TEST_CASE("answers that break off or are refused are no sign of a lost path")
{
    PathsFixture fixture(3);
    for (int server = 0; server < 3; ++server) {
        fixture.fail(server, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.fail(server, gateway::REASON_REFUSED_BY_SERVER);
        fixture.fail(server, gateway::REASON_HEAD_TOO_LARGE);
    }
    CHECK(fixture.runs.checks.empty());
}

TEST_CASE("failures that lie far apart raise no suspicion")
{
    PathsFixture fixture(6);
    for (int server = 0; server < 6; ++server) {
        fixture.fail(server);
        fixture.timers.advance(absl::Milliseconds(1100));
    }
    CHECK(fixture.runs.checks.empty());
}

TEST_CASE("a service with a single backend server is checked after one failure")
{
    PathsFixture fixture(1);
    fixture.fail(0);
    CHECK(fixture.runs.checks.size() == 1);
    fixture.endChecks({"s0"});
    CHECK_FALSE(fixture.paths.isCutOff(BOOKING));
}

TEST_CASE("paths count as back when two checks have reached a backend server, and requests return step by step")
{
    PathsFixture fixture(6);
    fixture.loseAll();
    REQUIRE(fixture.paths.isCutOff(BOOKING));
    fixture.timers.advance(absl::Milliseconds(300));
    REQUIRE(fixture.runs.checks.size() == 1);
    fixture.endChecks({"s0"});
    CHECK(fixture.paths.isCutOff(BOOKING));
    fixture.timers.advance(absl::Milliseconds(300));
    fixture.endChecks({});
    CHECK(fixture.paths.isCutOff(BOOKING));
    fixture.timers.advance(absl::Milliseconds(300));
    fixture.endChecks({"s0", "s1", "s2", "s3", "s4", "s5"});
    CHECK_FALSE(fixture.paths.isCutOff(BOOKING));
    CHECK(fixture.changes == 2);
    const auto sentOf = [&fixture](int requests) {
        int sent = 0;
        for (int request = 0; request < requests; ++request) {
            sent += fixture.paths.mayDispatch(BOOKING) ? 1 : 0;
        }
        return sent;
    };
    constexpr int REQUESTS = 1000;
    CHECK(sentOf(REQUESTS) < REQUESTS / 10);
    fixture.timers.advance(absl::Milliseconds(500));
    const int half = sentOf(REQUESTS);
    CHECK(half > REQUESTS / 3);
    CHECK(half < 2 * REQUESTS / 3);
    fixture.timers.advance(absl::Milliseconds(600));
    CHECK(sentOf(REQUESTS) == REQUESTS);
}

// Guards against a cut that never ends for an instance because one of the backend servers is gone for good.
TEST_CASE("paths count as back though some backend servers cannot be reached")
{
    PathsFixture fixture(2);
    fixture.loseAll();
    REQUIRE(fixture.paths.isCutOff(BOOKING));
    for (int check = 0; check < 4; ++check) {
        fixture.timers.advance(absl::Milliseconds(300));
        fixture.endChecks({"s0"});
    }
    CHECK_FALSE(fixture.paths.isCutOff(BOOKING));
}

TEST_CASE("an instance is not cut off from a service none of whose backend servers accepts requests")
{
    PathsFixture fixture(3);
    fixture.loseAll();
    REQUIRE(fixture.paths.isCutOff(BOOKING));
    fixture.servers.clear();
    fixture.timers.advance(absl::Milliseconds(300));
    CHECK_FALSE(fixture.paths.isCutOff(BOOKING));
    CHECK(fixture.paths.lostServices().empty());
}

TEST_CASE("the checks that decide are not all of one data centre")
{
    PathsFixture fixture(6);
    for (int server = 0; server < 3; ++server) {
        fixture.servers[static_cast<std::size_t>(server)].dataCentre = core::DataCentreId("north-2");
    }
    for (int server = 0; server < 3; ++server) {
        fixture.paths.noteAnswer(BOOKING, fixture.servers[static_cast<std::size_t>(server)].id);
    }
    for (int server = 0; server < 3; ++server) {
        fixture.fail(server);
    }
    const auto isOfOther = [](const auto &check) {
        return check.second.value() >= "s3";
    };
    CHECK(std::any_of(fixture.runs.checks.begin(), fixture.runs.checks.end(), isOfOther));
}

TEST_CASE("after a cut one failure is enough to check the paths again")
{
    PathsFixture fixture(6);
    fixture.loseAll();
    fixture.timers.advance(absl::Milliseconds(300));
    fixture.endChecks({"s0", "s1", "s2", "s3", "s4", "s5"});
    fixture.timers.advance(absl::Milliseconds(300));
    fixture.endChecks({"s0", "s1", "s2", "s3", "s4", "s5"});
    REQUIRE_FALSE(fixture.paths.isCutOff(BOOKING));
    fixture.timers.advance(absl::Seconds(1));
    fixture.fail(3);
    CHECK(fixture.runs.checks.size() == 3);
    fixture.endChecks({});
    CHECK(fixture.paths.isCutOff(BOOKING));
}

TEST_CASE("an instance that is cut off checks one backend server at a time, at most four in a second")
{
    PathsFixture fixture(6);
    fixture.loseAll();
    std::size_t checks = 0;
    for (int step = 0; step < 100; ++step) {
        fixture.timers.advance(absl::Milliseconds(100));
        CHECK(fixture.runs.checks.size() <= 1);
        checks += fixture.runs.checks.size();
        fixture.endChecks({});
    }
    CHECK(checks >= 30);
    CHECK(checks <= 40);
    CHECK(fixture.paths.isCutOff(BOOKING));
}
