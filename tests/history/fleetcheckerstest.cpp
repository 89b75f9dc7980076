#include "support/fleetscenario.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::testing;

namespace {

const core::RequestId REQUEST("r1");

/** History of one request that the customer "bar" sent to the instance recife-0 and that a backend server in recife-1 ran. */
struct SingleRequestHistory
{
    std::map<core::RequestId, CallerRecord> callers;
    std::vector<BackendRecord> records;
    HistoryContext context;

    SingleRequestHistory()
    {
        CallerRecord caller;
        caller.request.id = REQUEST;
        caller.request.keyDigest = keyDigestOf("bar");
        caller.request.service = core::ServiceId("booking");
        caller.request.path = "/reserve";
        caller.request.body = "payload";
        caller.entry = core::InstanceId("recife-0");
        caller.sent = absl::UnixEpoch();
        caller.finished = absl::UnixEpoch() + absl::Seconds(1);
        caller.lastByte = caller.finished;
        caller.finals = 1;
        caller.status = 200;
        caller.body = Fleet::expectedBody(caller.request, context.tokens);
        callers.emplace(REQUEST, caller);

        BackendRecord record;
        record.time = absl::UnixEpoch();
        record.decided = record.time;
        record.server = core::BackendServerId("booking-0");
        record.dataCentre = core::DataCentreId("recife-1");
        record.dispatch.request = REQUEST;
        records.push_back(record);

        context.configurations.push_back({absl::UnixEpoch() - absl::Hours(1), threeRegions(1).configuration});
        context.isNonIdempotent = [](const node::CallerRequest &) {
            return true;
        };
    }

    CallerRecord &caller()
    {
        return callers.at(REQUEST);
    }
};

} // namespace

TEST_CASE("checkers accept a good history")
{
    const SingleRequestHistory history;
    CHECK(checkResidency(history.records, history.callers, history.context).empty());
    CHECK(checkSingleForward({{core::InstanceId("recife-0"), core::InstanceId("fortaleza-0"), REQUEST}}, history.callers).empty());
    CHECK(checkAtMostOnce(history.records, history.callers, history.context).empty());
    CHECK(checkNotRun(history.records, history.callers).empty());
    CHECK(checkOwnAnswers(history.callers, history.context).empty());
    CHECK(checkAnswered(history.callers, absl::Seconds(2)).empty());
    CHECK(checkWithdrawn(history.records, history.callers, history.context).empty());
}

TEST_CASE("the residency checker finds a run in another region")
{
    SingleRequestHistory history;
    history.records[0].dataCentre = core::DataCentreId("salvador-1");
    CHECK(checkResidency(history.records, history.callers, history.context).size() == 1);
}

TEST_CASE("the residency checker allows an old configuration until the new one must be in force everywhere")
{
    SingleRequestHistory history;
    configuration::Configuration changedRegions = threeRegions(1).configuration;
    changedRegions.customers[0].allowedRegions = {core::RegionId("salvador")};
    history.context.configurations.push_back({absl::UnixEpoch() - absl::Seconds(5), changedRegions});
    CHECK(checkResidency(history.records, history.callers, history.context).empty());
    history.context.configurations.back().time = absl::UnixEpoch() - absl::Seconds(7);
    CHECK(checkResidency(history.records, history.callers, history.context).size() == 1);
}

TEST_CASE("the residency checker lets an isolated data centre use its last configuration, but not after its isolation")
{
    SingleRequestHistory history;
    configuration::Configuration changedRegions = threeRegions(1).configuration;
    changedRegions.customers[0].allowedRegions = {core::RegionId("salvador")};
    history.context.configurations.push_back({absl::UnixEpoch() - absl::Seconds(20), changedRegions});
    history.records[0].isolation = {absl::UnixEpoch() - absl::Seconds(30), absl::UnixEpoch() - absl::Seconds(1), false};
    CHECK(checkResidency(history.records, history.callers, history.context).empty());
    history.records[0].isolation.until = absl::UnixEpoch() - absl::Seconds(7);
    CHECK(checkResidency(history.records, history.callers, history.context).size() == 1);
}

TEST_CASE("the forwarding checker finds a second hop")
{
    const SingleRequestHistory history;
    const std::vector<ForwardRecord> forwards = {
        {core::InstanceId("recife-0"), core::InstanceId("fortaleza-0"), REQUEST}, {core::InstanceId("fortaleza-0"), core::InstanceId("salvador-0"), REQUEST}};
    CHECK(checkSingleForward(forwards, history.callers).size() == 1);
}

TEST_CASE("the at-most-once checker finds a second run of one call")
{
    SingleRequestHistory history;
    history.records.push_back(history.records[0]);
    CHECK(checkAtMostOnce(history.records, history.callers, history.context).size() == 1);
}

TEST_CASE("the at-most-once checker finds a run under the same idempotency key")
{
    SingleRequestHistory history;
    history.caller().request.idempotencyKey = "key";
    CallerRecord second = history.caller();
    second.request.id = core::RequestId("r2");
    history.callers.emplace(second.request.id, second);
    history.records.push_back(history.records[0]);
    history.records[1].dispatch.request = second.request.id;
    CHECK(checkAtMostOnce(history.records, history.callers, history.context).size() == 1);
}

TEST_CASE("the not-run checker finds a refused request that ran")
{
    SingleRequestHistory history;
    history.caller().error = core::makeError(core::ErrorKind::QueueFull, "full");
    CHECK(checkNotRun(history.records, history.callers).size() == 1);
}

TEST_CASE("the answer checker finds swapped, cut off and duplicate answers")
{
    SingleRequestHistory swapped;
    swapped.caller().body = "data: r2/0/other\n\n";
    CHECK(checkOwnAnswers(swapped.callers, swapped.context).size() == 1);

    SingleRequestHistory cut;
    cut.caller().body.resize(cut.caller().body.size() - 1);
    CHECK(checkOwnAnswers(cut.callers, cut.context).size() == 1);

    SingleRequestHistory duplicated;
    duplicated.caller().finals = 2;
    duplicated.caller().error = core::makeError(core::ErrorKind::Internal, "late");
    CHECK(checkOwnAnswers(duplicated.callers, duplicated.context).size() == 1);
}

TEST_CASE("the answer checker finds a late final answer")
{
    SingleRequestHistory history;
    CHECK(checkAnswered(history.callers, absl::Milliseconds(500)).size() == 1);
    history.caller().finals = 0;
    CHECK(checkAnswered(history.callers, absl::Hours(1)).size() == 1);
}

TEST_CASE("the key checker finds work and answers after a withdrawal")
{
    SingleRequestHistory history;
    configuration::Configuration withdrawn = threeRegions(1).configuration;
    withdrawn.customers[0].keyDigests.clear();
    history.context.configurations.push_back({absl::UnixEpoch() - absl::Seconds(8), withdrawn});
    CHECK(checkWithdrawn(history.records, history.callers, history.context).size() == 2);
}

TEST_CASE("the configuration checker finds a step back within one incarnation")
{
    const core::InstanceId instance("recife-0");
    const std::vector<ConfigurationRecord> records
        = {{absl::UnixEpoch(), instance, 1, 5}, {absl::UnixEpoch(), instance, 1, 4}, {absl::UnixEpoch(), instance, 2, 3}};
    CHECK(checkMonotone(records).size() == 1);
}

TEST_CASE("the checker for a leaving backend server finds work after the limit")
{
    const SingleRequestHistory history;
    CHECK(checkNoWorkAfter(history.records, core::BackendServerId("booking-0"), absl::UnixEpoch() - absl::Seconds(1)).size() == 1);
    CHECK(checkNoWorkAfter(history.records, core::BackendServerId("booking-0"), absl::UnixEpoch()).empty());
}
