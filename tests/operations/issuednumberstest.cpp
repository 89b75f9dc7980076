#include "snipeferry/operations/issuednumbers.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using operations::IssuedNumbers;
using operations::OperationDecision;
using operations::RunOutcome;
using Verdict = OperationDecision::Verdict;

namespace {

const core::CustomerId CUSTOMER("bar-do-sol");

struct Fixture
{
    core::VirtualTimerService timers;
    operations::OperationSettings settings;
    membership::InstanceDescription self{core::InstanceId("recife-1"), 7, core::DataCentreId("recife"), "", "", false};
    IssuedNumbers numbers{settings, self, 1, timers};

    OperationDecision call(const std::string &number, const std::string &body = "two heaters", const core::CustomerId &customer = CUSTOMER)
    {
        node::CallerRequest request;
        request.id = core::RequestId("r");
        request.operationNumber = number;
        request.body = body;
        return numbers.begin(request, customer);
    }
};

} // namespace

TEST_CASE("an issued number runs once and replays its answer")
{
    Fixture f;
    const std::string number = f.numbers.issue(CUSTOMER);
    CHECK(f.call(number).verdict == Verdict::Run);
    CHECK(f.call(number).refusal->kind == core::ErrorKind::OperationInProgress);
    f.numbers.finish(number, RunOutcome::Answered, operations::StoredAnswer{201, {}, "booked"});
    CHECK(f.call(number).answer->body == "booked");
    CHECK(f.call(number, "three heaters").refusal->kind == core::ErrorKind::OperationKeyConflict);
}

TEST_CASE("a number that did not run may run, one that may have run never again")
{
    Fixture f;
    const std::string number = f.numbers.issue(CUSTOMER);
    CHECK(f.call(number).verdict == Verdict::Run);
    f.numbers.finish(number, RunOutcome::NotRun, std::nullopt);
    CHECK(f.call(number).verdict == Verdict::Run);
    f.numbers.finish(number, RunOutcome::Unknown, std::nullopt);
    CHECK(f.call(number).refusal->kind == core::ErrorKind::OperationOutcomeUnknown);
}

TEST_CASE("expired numbers and those of other instances or customers do not run")
{
    Fixture f;
    const std::string number = f.numbers.issue(CUSTOMER);
    CHECK(f.call(number, "", core::CustomerId("other")).refusal->ranState == core::RanState::Unknown);
    CHECK(f.call("fortaleza-1.3.1.00").refusal->kind == core::ErrorKind::OperationOutcomeUnknown);
    f.timers.advance(f.settings.unusedNumberLifetime + absl::Seconds(20));
    CHECK(f.numbers.size() == 0);
    CHECK(f.call(number).refusal->kind == core::ErrorKind::OperationOutcomeUnknown);
}

TEST_CASE("issued numbers take bounded memory")
{
    Fixture f;
    f.settings.maxNumbers = 100;
    IssuedNumbers numbers(f.settings, f.self, 1, f.timers);
    for (int i = 0; i < 1000; ++i) {
        numbers.issue(CUSTOMER);
    }
    CHECK(numbers.size() == 100);
}
