#include "snipeferry/overload/laterequests.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

/** A long draft of the first deployment that would wait for 3 s in its turn, and longer behind all others. */
overload::LateCase draft()
{
    overload::LateCase lateCase;
    lateCase.route = "drafts";
    lateCase.timeLeft = absl::Seconds(12);
    lateCase.objective = absl::Milliseconds(2500);
    lateCase.pauseObjective = absl::Milliseconds(600);
    lateCase.estimate = absl::Seconds(3);
    lateCase.lateEstimate = absl::Seconds(6);
    lateCase.routePriority = 2;
    lateCase.runs = 100;
    lateCase.slots = 64;
    return lateCase;
}

} // namespace

// Guards against refusals of requests whose callers would have waited for a late answer: drafts beside more questions than there is room for.
TEST_CASE("a request that misses its objective is sent late while its caller still waits")
{
    const overload::LateRequests late;
    CHECK(late.decide(draft()) == overload::LateDecision::Send);

    overload::LateCase inTime = draft();
    inTime.estimate = absl::Seconds(2);
    CHECK(late.decide(inTime) == overload::LateDecision::InTime);
    inTime.elapsed = absl::Seconds(1);
    CHECK(late.decide(inTime) == overload::LateDecision::Send);
}

// Guards against late runs that take the room of requests in time, or that nobody waits for.
TEST_CASE("a request is not sent late if it is most urgent, its server has many runs, or its caller gives up before")
{
    const overload::LateRequests late;
    overload::LateCase question = draft();
    question.routePriority = 0;
    CHECK(late.decide(question) == overload::LateDecision::MostUrgent);

    overload::LateCase full = draft();
    full.runs = 128;
    CHECK(late.decide(full) == overload::LateDecision::ServerFull);

    overload::LateCase impatient = draft();
    impatient.lateEstimate = absl::Seconds(9);
    CHECK(late.decide(impatient) == overload::LateDecision::Send);
    impatient.elapsed = absl::Seconds(2);
    CHECK(late.decide(impatient) == overload::LateDecision::CallerPatience);

    overload::LateCase limited = draft();
    limited.timeLeft = absl::Seconds(5);
    CHECK(late.decide(limited) == overload::LateDecision::TimeLimit);
}

// Guards against late runs that are cut off at the time limit while their answer is sent.
TEST_CASE("the usual time of a route's answers has to fit the time limit of a late request as well")
{
    overload::LateRequests late;
    overload::LateCase lateCase = draft();
    lateCase.timeLeft = absl::Seconds(9);
    CHECK(late.decide(lateCase) == overload::LateDecision::Send);
    late.noteAnswer("drafts", absl::Seconds(4));
    CHECK(late.decide(lateCase) == overload::LateDecision::TimeLimit);
    lateCase.route = "other drafts";
    CHECK(late.decide(lateCase) == overload::LateDecision::Send);
}

TEST_CASE("callers wait two seconds, four objectives or eight pause objectives, whichever is longest")
{
    CHECK(overload::LateRequests::patience(absl::Milliseconds(100), absl::ZeroDuration()) == absl::Seconds(2));
    CHECK(overload::LateRequests::patience(absl::Milliseconds(2500), absl::Milliseconds(600)) == absl::Seconds(10));
    CHECK(overload::LateRequests::patience(absl::Milliseconds(800), absl::Milliseconds(600)) == absl::Milliseconds(4800));
}
