#include "fixture.h"

#include <algorithm>
#include <map>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

/** Tokens that an engine reads in a millisecond, as the gateway assumes at its start. */
constexpr double TOKENS_PER_MS = 45;
constexpr int SLOTS = 64;

/** A gateway in front of two engines that read prompts in the order of their ranks. */
struct OverloadFixture : GatewayFixture
{
    explicit OverloadFixture(bool sendsLateRequests = false, absl::Duration draftTimeout = absl::Seconds(12), std::uint64_t seed = 1)
        : GatewayFixture(settingsWith(sendsLateRequests, seed))
    {
        start();
        gateway::Deployment deployment = GatewayFixture::deployment(2);
        gateway::Route questions = route("/questions/");
        questions.isOpen = false;
        questions.priority = 0;
        questions.latencyObjective = absl::Milliseconds(800);
        questions.timeout = absl::Seconds(3);
        gateway::Route drafts = route("/drafts/");
        drafts.isOpen = false;
        drafts.priority = 2;
        drafts.latencyObjective = absl::Milliseconds(2500);
        drafts.pauseObjective = absl::Milliseconds(600);
        drafts.timeout = draftTimeout;
        deployment.routes.push_back(questions);
        deployment.routes.push_back(drafts);
        deployment.services[0].isModelEngine = true;
        deployment.services[0].coldTime = absl::ZeroDuration();
        for (const std::string &name : {std::string("small"), std::string("big")}) {
            gateway::Customer customer;
            customer.id = core::CustomerId(name);
            customer.keyDigests = {name + "-key"};
            customer.priority = 1;
            customer.countsTokens = true;
            deployment.customers.push_back(customer);
        }
        deploy(deployment);
        for (const std::string &name : {std::string("s1"), std::string("s2")}) {
            gateway::BackendServer engine = server(name);
            engine.slots = SLOTS;
            announce(engine);
        }
    }

    static gateway::GatewaySettings settingsWith(bool sendsLateRequests, std::uint64_t seed)
    {
        gateway::GatewaySettings all = settings();
        all.flow.sendsLateRequests = sendsLateRequests;
        all.flow.seed = seed;
        return all;
    }

    std::shared_ptr<Answer> askAs(const std::string &customer, const std::string &target, int tokens)
    {
        const std::size_t before = runs.sent.size();
        std::shared_ptr<Answer> answer = ask(target, {{"key", customer + "-key"}, {"tokens", absl::StrCat(tokens)}});
        if (runs.sent.size() > before) {
            waiting.push_back({lastRun(), static_cast<double>(tokens)});
        }
        return answer;
    }

    /** Lets the engines read for a time; answers are complete at once. */
    void readFor(absl::Duration time)
    {
        timers.advance(time);
        confirm();
        const auto isCancelled = [this](const Work &work) {
            return std::find(runs.cancelled.begin(), runs.cancelled.end(), work.run.run) != runs.cancelled.end();
        };
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(), isCancelled), waiting.end());
        for (const std::string &name : {std::string("s1"), std::string("s2")}) {
            double tokens = TOKENS_PER_MS * absl::ToDoubleMilliseconds(time);
            while (tokens > 0) {
                const auto isBefore = [&name](const Work &left, const Work &right) {
                    const bool isLeftHere = left.run.server.value() == name;
                    const bool isRightHere = right.run.server.value() == name;
                    return isLeftHere != isRightHere ? isLeftHere : left.rank() < right.rank();
                };
                const auto next = std::min_element(waiting.begin(), waiting.end(), isBefore);
                if (next == waiting.end() || next->run.server.value() != name) {
                    break;
                }
                const double read = std::min(tokens, next->tokens);
                tokens -= read;
                next->tokens -= read;
                if (next->tokens <= 0) {
                    const gateway::Number run = next->run.run;
                    waiting.erase(next);
                    gateway.runHead(run, {200, {{"receipt", "x"}}});
                    gateway.runData(run, "answer");
                    gateway.runEnd(run, gateway::AnswerEnd::Framed);
                }
            }
        }
    }

    int linesWith(const std::string &text) const
    {
        return static_cast<int>(
            std::count_if(journal.lines.begin(), journal.lines.end(), [&text](const std::string &line) { return absl::StrContains(line, text); }));
    }

    struct Work
    {
        SentRun run;
        double tokens = 0;

        std::string rank() const
        {
            return FakeHeaders::value(run.request.headers, "rank");
        }
    };

    std::vector<Work> waiting;
};

} // namespace

// Guards against refusals that are not true: the load is three times what fits into the objective.
TEST_CASE("a request that is refused for its wait is never run and gets a time to return")
{
    OverloadFixture fixture;
    constexpr int REQUESTS = 6;
    std::vector<std::shared_ptr<Answer>> answers;
    answers.reserve(REQUESTS);
    for (int request = 0; request < REQUESTS; ++request) {
        answers.push_back(fixture.askAs("small", "/questions/x", 36000));
    }
    const std::size_t started = fixture.runs.sent.size();
    CHECK(started == 2);
    for (std::size_t request = 2; request < 6; ++request) {
        REQUIRE(answers[request]->error.has_value());
        CHECK(answers[request]->status == 503);
        CHECK(answers[request]->error->ranState == core::RanState::NotRun);
        REQUIRE(answers[request]->error->retryAfter.has_value());
        CHECK(*answers[request]->error->retryAfter >= absl::Milliseconds(300));
        CHECK(*answers[request]->error->retryAfter <= absl::Milliseconds(600));
    }
    CHECK(answers[2]->error->retryAfter != answers[3]->error->retryAfter);
    for (int step = 0; step < 100; ++step) {
        fixture.readFor(absl::Milliseconds(100));
    }
    CHECK(fixture.runs.sent.size() == started);
    CHECK(fixture.linesWith("event=places_full") == 4);
    CHECK(fixture.linesWith("urgency=3 customer=small reason=wait") == 4);
    CHECK(fixture.journal.counts["places_full_total"] == 4);
}

// Guards against callers that return after their time is over.
TEST_CASE("a refusal is final if the caller's time limit leaves no time for a second attempt")
{
    OverloadFixture fixture(false, absl::Milliseconds(2600));
    for (int request = 0; request < 2; ++request) {
        fixture.askAs("small", "/drafts/x", 114000);
    }
    // The wait is 30 ms beyond the objective: 300 ms to 600 ms, of 2,600 ms.
    const std::shared_ptr<Answer> first = fixture.askAs("small", "/drafts/x", 100);
    REQUIRE(first->error.has_value());
    CHECK(first->error->retryAfter.has_value());
    // Behind a longer wait the time would be more than a quarter.
    for (int request = 0; request < 2; ++request) {
        fixture.askAs("small", "/questions/x", 35000);
    }
    const std::shared_ptr<Answer> second = fixture.askAs("small", "/drafts/x", 100);
    REQUIRE(second->error.has_value());
    CHECK_FALSE(second->error->retryAfter.has_value());
}

// Guards against a customer with a multiple of the others' load that fills the engines for all.
TEST_CASE("under shortage a customer beyond its even share is refused at a wait at which the others are served")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    CAPTURE(seed);
    OverloadFixture fixture(false, absl::Seconds(12), seed);
    for (int step = 0; step < 200; ++step) {
        for (int request = 0; request < 4; ++request) {
            fixture.askAs("big", "/questions/x", 4500);
        }
        if (step % 2 == 0) {
            fixture.askAs("small", "/questions/x", 4500);
        }
        fixture.readFor(absl::Milliseconds(50));
    }
    // The engines read a request in 50 ms together, and 4.5 are asked for: an even share is half a request.
    int bigRefused = 0;
    int smallRefused = 0;
    for (const std::string &line : fixture.journal.lines) {
        const bool isRefusal = absl::StrContains(line, "event=places_full");
        bigRefused += isRefusal && absl::StrContains(line, "customer=big") ? 1 : 0;
        smallRefused += isRefusal && absl::StrContains(line, "customer=small") ? 1 : 0;
    }
    CHECK(fixture.linesWith("reason=share") > 0);
    CHECK(smallRefused <= 10);
    CHECK(bigRefused >= 500);
    // It still has at least its even share, and all that the other one leaves.
    CHECK(bigRefused <= 800 - 200 * 0.4);
}

// Guards against a customer that spreads its load over other instances, so that it asks for no more than the others here.
TEST_CASE("what other instances report of a customer counts for its share")
{
    OverloadFixture fixture;
    fixture.gateway.linkUp(GatewayFixture::member("gw-2", "north"));
    for (int step = 0; step < 200; ++step) {
        if (step % 20 == 0) {
            gateway::Pulse pulse;
            pulse.sentAt = 1;
            pulse.isReady = true;
            pulse.allowances = {{core::CustomerId("big"), 0, 10 * 90000.0}, {core::CustomerId("small"), 0, 0}};
            fixture.gateway.received(core::InstanceId("gw-2"), pulse);
        }
        fixture.askAs("big", "/questions/x", 4500);
        fixture.askAs("small", "/questions/x", 4500);
        fixture.readFor(absl::Milliseconds(50));
    }
    // Both together ask here for twice the room. In all, the large one asks for eleven times as much as the other.
    CHECK(fixture.linesWith("customer=big reason=share") > fixture.linesWith("customer=small reason="));
}

// Guards against shares that hold a customer back while the engines have room.
TEST_CASE("with room to spare no customer is refused, however much more than the others it asks for")
{
    OverloadFixture fixture;
    for (int step = 0; step < 200; ++step) {
        fixture.askAs("big", "/questions/x", 3600);
        if (step % 10 == 0) {
            fixture.askAs("small", "/questions/x", 3600);
        }
        fixture.readFor(absl::Milliseconds(50));
    }
    CHECK(fixture.linesWith("event=places_full") == 0);
}

// Guards against questions that wait behind drafts: drafts take 1, 2 and 5 times the room of the engines, and the questions 40% of it.
TEST_CASE("urgent questions keep their objective beside more drafts than there is room for")
{
    const int factor = GENERATE(1, 2, 5);
    const bool sendsLateRequests = GENERATE(false, true);
    CAPTURE(factor, sendsLateRequests);
    OverloadFixture fixture(sendsLateRequests);
    std::map<core::RequestId, absl::Time> askedAt;
    int draftsServed = 0;
    std::vector<std::shared_ptr<Answer>> questions;
    std::vector<std::shared_ptr<Answer>> drafts;
    for (int step = 0; step < 400; ++step) {
        if (step % 2 == 0) {
            questions.push_back(fixture.askAs("small", "/questions/x", 3600));
        }
        // 9,000 tokens are two steps of both engines.
        for (int draft = 0; draft < factor && step % 2 == 0; ++draft) {
            drafts.push_back(fixture.askAs("small", "/drafts/x", 9000));
        }
        fixture.readFor(absl::Milliseconds(50));
    }
    for (const std::shared_ptr<Answer> &question : questions) {
        CHECK_FALSE(question->error.has_value());
    }
    for (const std::shared_ptr<Answer> &draft : drafts) {
        draftsServed += draft->status == 200 ? 1 : 0;
    }
    for (const absl::Duration time : fixture.journal.times["first_answer_seconds"]) {
        CHECK(time <= absl::Seconds(12));
    }
    // 60% of the room is left for them, which is more than a tenth.
    CHECK(draftsServed >= 0.5 * 200);
    CHECK((fixture.linesWith("event=late_started") > 0) == sendsLateRequests);
}

// Guards against requests that are refused although their callers wait for a late answer, and against late ones before those in time.
TEST_CASE("a draft that misses its objective is sent behind all others, if that is asked for, while its server has few runs")
{
    OverloadFixture fixture(true);
    for (int request = 0; request < 2; ++request) {
        fixture.askAs("small", "/drafts/x", 120000);
    }
    const std::shared_ptr<Answer> late = fixture.askAs("small", "/drafts/x", 4500);
    CHECK_FALSE(late->error.has_value());
    CHECK(FakeHeaders::value(fixture.lastRun().request.headers, "rank") == "9");
    CHECK(fixture.linesWith("event=late_started") == 1);
    CHECK(fixture.journal.counts["late_decisions_total"] == 1);
    // A question is not delayed by it, and a question that is late is refused.
    CHECK_FALSE(fixture.askAs("small", "/questions/x", 4500)->error.has_value());
    for (int request = 0; request < 40; ++request) {
        fixture.askAs("small", "/questions/x", 4500);
    }
    CHECK(fixture.askAs("small", "/questions/x", 4500)->status == 503);
    CHECK(fixture.linesWith("event=late_started") == 1);
    // The caller gives up after 10 s.
    fixture.askAs("small", "/drafts/x", 250000);
    fixture.askAs("small", "/drafts/x", 250000);
    CHECK(fixture.linesWith("event=late_started") == 3);
    CHECK(fixture.askAs("small", "/drafts/x", 100000)->status == 503);
}

TEST_CASE("late requests are refused unless the settings ask for them")
{
    OverloadFixture fixture;
    for (int request = 0; request < 2; ++request) {
        fixture.askAs("small", "/drafts/x", 120000);
    }
    CHECK(fixture.askAs("small", "/drafts/x", 4500)->status == 503);
    CHECK(fixture.linesWith("event=late_started") == 0);
}
