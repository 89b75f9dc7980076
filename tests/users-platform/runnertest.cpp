#include "usersfixture.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace snipeferry;
using namespace snipeferry::testing;
using standins::AnswerFault;
using standins::RunnerFault;

namespace {

constexpr absl::Duration START_LIMIT = absl::Seconds(10);
constexpr int REQUESTS = 8;

/** Whether an answer promises that nothing was run and nothing will be. */
bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** Answers that are neither whole nor a failure that tells the truth, and requests that ran more often than they may. */
std::vector<std::string> wrongAnswers(UsersFixture &fixture, const std::string &path, int count)
{
    const bool mayRepeat = path == "/stock/x" || path == "/plan/x";
    std::vector<std::string> wrong;
    for (int i = 0; i < count; ++i) {
        const UsersAnswer answer = fixture.ask(path);
        const std::size_t runs = fixture.runsOf(answer.attempt).size();
        const bool isWhole = UsersFixture::isWhole(path, answer);
        const bool looksWhole = answer.answer.status == 200 && answer.answer.result.outcome == http::ClientOutcome::Whole;
        if ((looksWhole && !isWhole) || (!mayRepeat && runs > 1) || (!mayRepeat && runs > 0 && promisesNotRun(answer.answer.status))) {
            wrong.push_back(answer.attempt + " " + std::to_string(answer.answer.status) + " runs " + std::to_string(runs) + " " + answer.answer.body);
        }
    }
    return wrong;
}

/** Shows what is wrong with the first answers, if any. */
bool noneWrong(const std::vector<std::string> &wrong)
{
    for (const std::string &line : wrong) {
        UNSCOPED_INFO(line);
    }
    return wrong.empty();
}

int served(UsersFixture &fixture, const std::string &path, int count)
{
    int whole = 0;
    for (int i = 0; i < count; ++i) {
        whole += UsersFixture::isWhole(path, fixture.ask(path)) ? 1 : 0;
    }
    return whole;
}

} // namespace

TEST_CASE("whatever one runner does, no caller gets a wrong answer, and nothing runs twice that may not")
{
    const RunnerFault fault
        = GENERATE(RunnerFault::Full, RunnerFault::Failure, RunnerFault::Silent, RunnerFault::AnswerLost, RunnerFault::BrokenStream, RunnerFault::Slow);
    CAPTURE(static_cast<int>(fault));
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.onStandins([&] {
        fixture.runner("i-e1").setFault(fault);
        fixture.runner("i-b1").setFault(fault);
    });
    for (const char *path : {"/plan/x", "/answer/x", "/reserve/x", "/stock/x"}) {
        CHECK(noneWrong(wrongAnswers(fixture, path, REQUESTS)));
    }
    // What may run again is served by the other runner.
    CHECK(served(fixture, "/stock/x", REQUESTS) == REQUESTS);
}

TEST_CASE("a runner that is full costs no request")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.onStandins([&] { fixture.runner("i-b1").setFault(RunnerFault::Full); });
    CHECK(served(fixture, "/reserve/x", REQUESTS) == REQUESTS);
}

TEST_CASE("a resumable stream that breaks off goes on at the other runner")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.onStandins([&] { fixture.runner("i-e1").setFault(RunnerFault::BrokenStream); });
    CHECK(served(fixture, "/plan/x", REQUESTS) == REQUESTS);
}

TEST_CASE("bytes that are no answer, or the answer to another request, reach no caller")
{
    const AnswerFault fault = GENERATE(AnswerFault::Garbage, AnswerFault::CutShort, AnswerFault::ForeignAnswerBehind);
    CAPTURE(static_cast<int>(fault));
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    for (const char *path : {"/plan/x", "/answer/x", "/reserve/x", "/stock/x"}) {
        fixture.onStandins([&] {
            for (const char *runner : {"i-e1", "i-e2", "i-b1", "i-b2"}) {
                fixture.way(runner).harmAnswers(fault, 2);
            }
        });
        CHECK(noneWrong(wrongAnswers(fixture, path, REQUESTS)));
    }
}

TEST_CASE("runners that are out of reach, silent or reset leave the others serving")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    SECTION("resets")
    {
        fixture.onStandins([&] {
            fixture.way("i-b1").refuse(true);
            fixture.way("i-b1").resetAll();
        });
    }
    SECTION("open connections go silent for good")
    {
        fixture.onStandins([&] { fixture.way("i-b1").silenceAll(); });
    }
    SECTION("nothing comes back")
    {
        fixture.onStandins([&] { fixture.way("i-b1").hold(false, true); });
    }
    SECTION("nothing goes there")
    {
        fixture.onStandins([&] { fixture.way("i-b1").hold(true, false); });
    }
    CHECK(noneWrong(wrongAnswers(fixture, "/reserve/x", REQUESTS)));
    CHECK(served(fixture, "/stock/x", REQUESTS) == REQUESTS);
}

TEST_CASE("an address that another runner has now runs nothing of the first")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    // A new boot under another identifier, of which the store does not tell yet.
    fixture.onStandins([&] { fixture.runner("i-b1").restartAs("i-b9", "v1"); });
    CHECK(served(fixture, "/reserve/x", REQUESTS) == REQUESTS);
    for (const standins::RunSeen &run : fixture.allRuns()) {
        CHECK(run.runner != "i-b9");
    }
}

TEST_CASE("a runner that drains, or whose entry is gone, gets nothing more")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    const bool isDraining = GENERATE(true, false);
    fixture.onStandins([&] {
        if (isDraining) {
            fixture.runner("i-b1").announceDraining();
        } else {
            fixture.runner("i-b1").withdraw();
        }
    });
    absl::SleepFor(absl::Seconds(1));
    const absl::Time from = absl::Now();
    CHECK(served(fixture, "/reserve/x", REQUESTS) == REQUESTS);
    const std::vector<standins::RunSeen> runs = fixture.allRuns();
    REQUIRE(runs.size() >= static_cast<std::size_t>(REQUESTS));
    for (std::size_t i = runs.size() - REQUESTS; i < runs.size(); ++i) {
        CHECK(runs[i].runner == "i-b2");
    }
    CHECK(absl::Now() > from);
}

TEST_CASE("a caller that leaves ends the work of its runner")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    fixture.onStandins([&] {
        fixture.runner("i-b1").setFault(RunnerFault::Silent);
        fixture.runner("i-b2").setFault(RunnerFault::Silent);
    });
    const UsersAnswer answer = fixture.ask("/reserve/x", "k-bar-1", 400);
    CHECK(answer.answer.status != 200);
    CHECK(fixture.eventually(
        [&] { return fixture.onStandins([&] { return fixture.runner("i-b1").running() + fixture.runner("i-b2").running() == 0; }); }, absl::Seconds(2)));
}

namespace {

constexpr int CALLERS = 8;
/** A quarter of the memory that the settings state, in KB. */
constexpr std::int64_t MAX_GROWTH_KB = 65536;

} // namespace

// A runner in trouble may write without end. The machines have 160 MB, and one such runner must not take a whole instance.
TEST_CASE("a runner that writes without end costs the gateway little memory, and others are served meanwhile")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    const std::int64_t before = peakMemoryKb(fixture.gateway().id());
    fixture.onStandins([&] {
        fixture.runner("i-e1").setFault(RunnerFault::EndlessAnswer);
        fixture.runner("i-b1").setFault(RunnerFault::EndlessAnswer);
    });
    std::atomic<int> looksWhole = 0;
    std::atomic<int> saysNotRun = 0;
    std::vector<std::thread> callers;
    callers.reserve(CALLERS);
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&fixture, &looksWhole, &saysNotRun, caller] {
            const std::string path = caller % 2 == 0 ? "/answer/x" : "/reserve/x";
            for (int request = 0; request < 6; ++request) {
                const UsersAnswer answer = fixture.ask(path);
                const bool claimsWhole = answer.answer.status == 200 && answer.answer.result.outcome == http::ClientOutcome::Whole;
                looksWhole += claimsWhole && !UsersFixture::isWhole(path, answer) ? 1 : 0;
                saysNotRun += promisesNotRun(answer.answer.status) && !fixture.runsOf(answer.attempt).empty() ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(looksWhole == 0);
    CHECK(saysNotRun == 0);
    CHECK(peakMemoryKb(fixture.gateway().id()) - before < MAX_GROWTH_KB);
    CHECK(served(fixture, "/stock/x", REQUESTS) == REQUESTS);
}
