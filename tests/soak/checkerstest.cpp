#include "checkers.h"

#include "users/usersmanifest.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>

using namespace snipeferry;
using soak::History;
using soak::RequestSeen;

namespace {

const absl::Time START = absl::FromUnixSeconds(1'000'000);
constexpr int EVENTS = 6;

absl::Time at(double seconds)
{
    return START + absl::Seconds(seconds);
}

RequestSeen request(const std::string &attempt, const std::string &path, double sentAt)
{
    RequestSeen seen;
    seen.attempt = attempt;
    seen.gateway = "gw-1";
    seen.path = path;
    seen.body = "question";
    seen.key = "k-bar-1";
    seen.tenant = "bar";
    seen.events = path == "/plan/x" || path == "/answer/x" ? EVENTS : 0;
    seen.tokens = 200;
    seen.sentAt = at(sentAt);
    seen.timeLimit = absl::Seconds(2);
    seen.endedAt = at(sentAt + 0.1);
    seen.status = 200;
    seen.isComplete = true;
    seen.receipt = "i-1." + attempt;
    for (int number = 1; number <= seen.events; ++number) {
        seen.answer += standins::eventText(number);
    }
    if (seen.events == 0) {
        seen.answer = standins::wholeBodyOf(attempt);
    }
    return seen;
}

standins::RunSeen run(const RequestSeen &request, const std::string &runner = "i-1")
{
    standins::RunSeen seen;
    seen.runner = runner;
    seen.service = "booking";
    seen.at = request.sentAt + absl::Milliseconds(10);
    seen.endedAt = request.endedAt;
    seen.isComplete = true;
    seen.request = {"POST", request.path, {{"Attempt-Id", request.attempt}, {"Tenant", request.tenant}}, request.body};
    return seen;
}

/** Two minutes of four requests a second, all of them served as they should be. */
History soundHistory()
{
    static const char *const PATHS[] = {"/plan/x", "/answer/x", "/reserve/x", "/stock/x"};
    History history;
    for (int number = 0; number < 480; ++number) {
        history.requests.push_back(request(absl::StrCat("a", number), PATHS[number % 4], number * 0.25));
        history.runs.push_back(run(history.requests.back()));
    }
    history.rates = {{"bar", 2500.0}};
    history.faultsOverAt = at(60);
    history.endedAt = at(200);
    return history;
}

/** Names of the promises that a history breaks. */
std::vector<std::string> brokenPromises(const History &history)
{
    std::vector<std::string> broken;
    for (const soak::Checker &checker : soak::checkers()) {
        if (!checker.check(history).empty()) {
            broken.emplace_back(checker.promise);
        }
    }
    return broken;
}

/** A fault that is planted into a sound history, and the promise that it breaks. */
struct PlantedFault
{
    const char *promise;
    std::function<void(History &)> plant;
};

/** Numbers of requests in soundHistory(), by kind of request. */
constexpr std::size_t PLAN = 40;
constexpr std::size_t RESERVE = 42;
constexpr std::size_t STOCK = 43;

void alterAll(History &history, std::size_t from, const std::function<void(RequestSeen &)> &alter)
{
    for (std::size_t number = from; number < history.requests.size(); ++number) {
        alter(history.requests[number]);
    }
}

std::vector<PlantedFault> plantedFaults()
{
    return {
        {"a success is the runner's own whole answer to that request",
            [](History &history) {
                history.requests[RESERVE].answer.pop_back();
            }},
        {"a success is the runner's own whole answer to that request",
            [](History &history) {
                history.requests[RESERVE].receipt = "i-1.a1";
            }},
        {"a success is the runner's own whole answer to that request",
            [](History &history) {
                // A piece twice, in a stream that then breaks off.
                history.requests[PLAN].answer = standins::eventText(1) + standins::eventText(1);
                history.requests[PLAN].isComplete = false;
            }},
        {"runners run only what callers sent, for the tenant that holds the key",
            [](History &history) {
                history.runs.push_back(run(request("nobody", "/stock/x", 10)));
            }},
        {"runners run only what callers sent, for the tenant that holds the key",
            [](History &history) {
                history.runs[STOCK].request.body += "!";
            }},
        {"runners run only what callers sent, for the tenant that holds the key",
            [](History &history) {
                history.runs[STOCK].request.headers.back().value = "hotel";
            }},
        {"runners run only what callers sent, for the tenant that holds the key",
            [](History &history) {
                history.runs[STOCK].request.headers.push_back({"hold", "7"});
            }},
        {"what may run once at most does",
            [](History &history) {
                history.runs.push_back(run(history.requests[RESERVE], "i-2"));
            }},
        {"a refusal that promises 'not run' is true",
            [](History &history) {
                history.requests[RESERVE].status = 503;
            }},
        {"a request reaches no more runners than its route allows",
            [](History &history) {
                for (std::size_t number = STOCK; number < STOCK + 16; number += 4) {
                    for (const char *runner : {"i-2", "i-3", "i-4"}) {
                        history.runs.push_back(run(history.requests[number], runner));
                    }
                }
            }},
        {"repeats stay within the budget of all instances",
            [](History &history) {
                for (int i = 0; i < 80; ++i) {
                    history.runs.push_back(run(history.requests[STOCK]));
                }
            }},
        {"a key that was taken away runs nothing",
            [](History &history) {
                history.keysTakenAway.push_back({"k-bar-1", at(100), at(106)});
            }},
        {"a route that was taken away runs nothing",
            [](History &history) {
                history.routesTakenAway.push_back({"/stock/", at(100), at(108)});
            }},
        {"a tenant's rate holds over all instances",
            [](History &history) {
                alterAll(history, 0, [](RequestSeen &seen) { seen.tokens = 1000; });
            }},
        {"a draining runner gets nothing more",
            [](History &history) {
                history.runnersDraining.push_back({"i-1", at(100), absl::InfiniteFuture()});
            }},
        {"work for callers who left ends",
            [](History &history) {
                for (std::size_t number = STOCK; number < STOCK + 40; number += 4) {
                    history.requests[number].hasLeft = true;
                    history.requests[number].isComplete = false;
                    history.requests[number].status = 0;
                    history.runs[number].endedAt = history.requests[number].endedAt + absl::Seconds(1);
                }
            }},
        {"a caller gets an end within its time",
            [](History &history) {
                history.requests[RESERVE].isOutOfTime = true;
                history.requests[RESERVE].status = 0;
            }},
        {"after the faults the requests are served again",
            [](History &history) {
                alterAll(history, 300, [](RequestSeen &seen) { seen.status = 502; });
            }},
        {"processes end only when they are told",
            [](History &history) {
                history.ownEnds.emplace_back("gw-1 ended by itself");
            }},
    };
}

} // namespace

TEST_CASE("a sound history breaks no promise of the soak")
{
    CHECK(brokenPromises(soundHistory()).empty());
}

TEST_CASE("each checker of the soak catches a planted fault, and no other checker takes it for its own")
{
    for (const PlantedFault &fault : plantedFaults()) {
        History history = soundHistory();
        fault.plant(history);
        CHECK(brokenPromises(history) == std::vector<std::string>{fault.promise});
    }
    // None is left out.
    for (const soak::Checker &checker : soak::checkers()) {
        bool isPlanted = false;
        for (const PlantedFault &fault : plantedFaults()) {
            isPlanted = isPlanted || std::string(fault.promise) == checker.promise;
        }
        INFO(checker.promise);
        CHECK(isPlanted);
    }
}

TEST_CASE("a disturbance excuses only what the pages excuse")
{
    // A route that is taken away binds only processes in touch; a key that is taken away binds all.
    History history = soundHistory();
    history.disturbances.push_back({"gw-1", at(90), at(110)});
    history.routesTakenAway.push_back({"/stock/", at(100), at(108)});
    CHECK(brokenPromises(history).empty());
    history.keysTakenAway.push_back({"k-bar-1", at(100), at(106)});
    CHECK(brokenPromises(history) == std::vector<std::string>{"a key that was taken away runs nothing"});
}
