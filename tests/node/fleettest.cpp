#include "support/fleetscenario.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::testing;

namespace {

constexpr absl::Duration STARTUP_TIME = absl::Seconds(10);

const core::InstanceId RECIFE("recife-0");
const core::InstanceId FORTALEZA("fortaleza-0");
const core::InstanceId SALVADOR("salvador-0");

/** Creates a scenario and runs it until all instances are connected. */
std::unique_ptr<FleetScenario> startedScenario(std::uint64_t seed)
{
    std::unique_ptr<FleetScenario> scenario = std::make_unique<FleetScenario>(seed);
    scenario->fleet().run(STARTUP_TIME);
    return scenario;
}

} // namespace

TEST_CASE("a model request is answered completely in the data centre of the instance that received it")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(1);
    const core::RequestId id = scenario->ask(RECIFE, "bar");
    scenario->fleet().run(absl::Seconds(2));
    const CallerRecord &caller = scenario->caller(id);
    INFO((caller.error ? caller.error->message : std::string("no error")));
    CHECK(caller.isWhole());
    CHECK(caller.body == Fleet::expectedBody(caller.request, 6));
    CHECK(scenario->fleet().forwardRecords().empty());
}

TEST_CASE("a model request is forwarded once when it may not run in the region of the instance that received it")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(2);
    const core::RequestId id = scenario->ask(SALVADOR, "bar");
    scenario->fleet().run(absl::Seconds(2));
    const CallerRecord &caller = scenario->caller(id);
    INFO((caller.error ? caller.error->message : std::string("no error")));
    CHECK(caller.isWhole());
    CHECK(caller.body == Fleet::expectedBody(caller.request, 6));
    CHECK(scenario->fleet().forwardRecords().size() == 1);
    CHECK(describe(scenario->checkAll()).empty());
}

TEST_CASE("a reservation under one idempotency key at two entries runs once")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(3);
    const core::RequestId first = scenario->reserve(RECIFE, "hotel", "key-1");
    const core::RequestId second = scenario->reserve(FORTALEZA, "hotel", "key-1");
    scenario->fleet().run(absl::Seconds(5));
    CHECK(scenario->fleet().backendRecords().size() == 1);
    CHECK((scenario->caller(first).isWhole() || scenario->caller(second).isWhole()));
    CHECK(describe(scenario->checkAll()).empty());
}

TEST_CASE("a region cut off from the others and the platform goes on serving")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(4);
    for (const std::string endpoint : {"recife-1", "fortaleza-1", "platform"}) {
        scenario->fleet().cutBoth("salvador-1", endpoint);
    }
    scenario->fleet().run(absl::Seconds(60));
    std::vector<core::RequestId> ids;
    for (int i = 0; i < 20; ++i) {
        ids.push_back(scenario->ask(SALVADOR, "wedding"));
        ids.push_back(scenario->reserve(SALVADOR, "wedding", ""));
        scenario->fleet().run(absl::Milliseconds(500));
    }
    scenario->fleet().run(absl::Seconds(5));
    for (const core::RequestId &id : ids) {
        INFO(id.value() + " " + (scenario->caller(id).error ? scenario->caller(id).error->message : std::string("no error")));
        CHECK(scenario->caller(id).isWhole());
    }
    CHECK(describe(scenario->checkAll()).empty());
}

TEST_CASE("a withdrawn key stops queued and forwarded and streaming requests within seconds")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(5);
    for (const platform::BackendServer &server : threeRegions(5).servers) {
        scenario->fleet().behaviour(server.id).perToken = absl::Seconds(4);
    }
    const core::RequestId local = scenario->ask(RECIFE, "bar");
    const core::RequestId forwarded = scenario->ask(SALVADOR, "bar");
    scenario->fleet().run(absl::Seconds(6));
    configuration::Configuration changed = scenario->configuration();
    changed.customers[0].keyDigests.clear();
    scenario->accept(changed);
    scenario->fleet().run(absl::Seconds(40));
    const core::RequestId late = scenario->ask(RECIFE, "bar");
    scenario->fleet().run(absl::Seconds(1));
    for (const core::RequestId &id : {local, forwarded, late}) {
        REQUIRE(scenario->caller(id).error.has_value());
        CHECK(scenario->caller(id).error->kind == core::ErrorKind::KeyWithdrawn);
    }
    CHECK(describe(checkWithdrawn(scenario->fleet().backendRecords(), scenario->fleet().callerRecords(), scenario->context())).empty());
}

TEST_CASE("a lost runner's stream is resumed at the next unsent token")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(6);
    const core::RequestId id = scenario->ask(RECIFE, "bar");
    scenario->fleet().run(absl::Milliseconds(200));
    const std::vector<BackendRecord> &records = scenario->fleet().backendRecords();
    REQUIRE(records.size() == 1);
    const core::BackendServerId intactServer = records[0].server;
    scenario->fleet().run(absl::Seconds(1));

    // Send the same request again. Every backend server except the first one now cuts its streams after three tokens.
    for (const platform::BackendServer &server : threeRegions(6).servers) {
        scenario->fleet().behaviour(server.id).cutAfterTokens = server.id == intactServer ? -1 : 3;
    }
    std::vector<core::RequestId> ids;
    for (int i = 0; i < 12; ++i) {
        ids.push_back(scenario->ask(RECIFE, "bar"));
        scenario->fleet().run(absl::Milliseconds(300));
    }
    int resumed = 0;
    for (const std::string &line : scenario->fleet().logLines()) {
        resumed += line.find("event=stream_resumed") != std::string::npos ? 1 : 0;
    }
    CHECK(resumed > 0);
    CHECK(scenario->caller(id).isWhole());
    CHECK(describe(scenario->checkAll()).empty());
}

TEST_CASE("a stream that stops without an error from the backend server fails after the idle timeout")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(10);
    for (const platform::BackendServer &server : threeRegions(10).servers) {
        scenario->fleet().behaviour(server.id).perToken = absl::Minutes(10);
    }
    const core::RequestId local = scenario->ask(RECIFE, "bar");
    const core::RequestId forwarded = scenario->ask(SALVADOR, "bar");
    scenario->fleet().run(absl::Seconds(45));
    CHECK(scenario->caller(local).error.has_value());
    CHECK(scenario->caller(forwarded).error.has_value());
}

TEST_CASE("a reservation whose answer is lost is never sent again and its outcome is unknown")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(11);
    for (const platform::BackendServer &server : threeRegions(11).servers) {
        scenario->fleet().behaviour(server.id).losesAnswers = true;
    }
    // Requests of the customer "wedding" may run in all three regions, so a retry elsewhere would always be possible.
    const core::RequestId local = scenario->reserve(RECIFE, "wedding", "");
    const core::RequestId forwarded = scenario->reserve(SALVADOR, "bar", "");
    scenario->fleet().run(absl::Seconds(40));
    for (const core::RequestId &id : {local, forwarded}) {
        REQUIRE(scenario->caller(id).error.has_value());
        CHECK(scenario->caller(id).error->ranState == core::RanState::Unknown);
    }
    CHECK(scenario->fleet().backendRecords().size() == 2);
    CHECK(describe(scenario->checkAll()).empty());
}

TEST_CASE("a reservation that no backend server took is refused as not run")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(12);
    for (const platform::BackendServer &server : threeRegions(12).servers) {
        scenario->fleet().behaviour(server.id).refusesConnections = true;
    }
    const core::RequestId id = scenario->reserve(RECIFE, "bar", "");
    scenario->fleet().run(absl::Seconds(40));
    REQUIRE(scenario->caller(id).error.has_value());
    CHECK(scenario->caller(id).error->ranState == core::RanState::NotRun);
    CHECK(scenario->caller(id).error->retryAfter.has_value());
    CHECK(scenario->fleet().backendRecords().empty());
}

TEST_CASE("an open route's path prefix matches whole path segments only")
{
    const configuration::Configuration configuration = threeRegions(13).configuration;
    const configuration::Service *booking = configuration::findService(configuration, core::ServiceId("booking"));
    CHECK(configuration::findRoute(*booking, "/catalogue")->isOpen);
    CHECK(configuration::findRoute(*booking, "/catalogue/all")->isOpen);
    CHECK(configuration::findRoute(*booking, "/catalogue?page=2")->isOpen);
    CHECK(configuration::findRoute(*booking, "/cataloguetools") == nullptr);
}

TEST_CASE("an instance that was paused receives configuration changes before it sends requests")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(14);
    scenario->fleet().freeze(RECIFE, absl::Seconds(9));
    configuration::Configuration changed = scenario->configuration();
    changed.customers[0].keyDigests.clear();
    scenario->accept(changed);
    const core::RequestId id = scenario->ask(RECIFE, "bar");
    scenario->fleet().run(absl::Seconds(15));
    REQUIRE(scenario->caller(id).error.has_value());
    CHECK(scenario->caller(id).error->kind == core::ErrorKind::KeyWithdrawn);
    CHECK(scenario->fleet().backendRecords().empty());
}

TEST_CASE("a planned stop cuts no stream and the others take over")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(7);
    for (const platform::BackendServer &server : threeRegions(7).servers) {
        scenario->fleet().behaviour(server.id).perToken = absl::Seconds(2);
    }
    std::vector<core::RequestId> ids;
    for (int i = 0; i < 5; ++i) {
        ids.push_back(scenario->ask(RECIFE, "hotel"));
        ids.push_back(scenario->ask(SALVADOR, "bar"));
    }
    scenario->fleet().run(absl::Seconds(1));
    scenario->fleet().drain(RECIFE);

    // A caller that does not know of the drain yet is still served.
    scenario->fleet().run(absl::Seconds(1));
    ids.push_back(scenario->ask(RECIFE, "hotel"));
    scenario->fleet().run(absl::Seconds(30));
    CHECK(scenario->fleet().node(RECIFE)->isDrained());
    for (const core::RequestId &id : ids) {
        INFO(id.value() + " " + (scenario->caller(id).error ? scenario->caller(id).error->message : std::string("no error")));
        CHECK(scenario->caller(id).isWhole());
    }
    scenario->fleet().crash(RECIFE);
    const core::RequestId next = scenario->ask(SALVADOR, "bar");
    scenario->fleet().run(absl::Seconds(20));
    CHECK(scenario->caller(next).isWhole());
}

TEST_CASE("a leaving backend server gets no new work after a few seconds")
{
    const std::unique_ptr<FleetScenario> scenario = startedScenario(8);
    std::vector<platform::BackendServer> servers = threeRegions(8).servers;
    servers[0].isLeaving = true;
    scenario->fleet().setServers(servers);
    const absl::Time announced = scenario->fleet().now();
    scenario->runRandom(absl::Seconds(20), 20, FaultMix());
    CHECK(describe(checkNoWorkAfter(scenario->fleet().backendRecords(), servers[0].id, announced + absl::Seconds(3))).empty());
}

TEST_CASE("every request is served while no fault occurs")
{
    FleetScenario scenario(9);
    scenario.runRandom(absl::Seconds(30), 20, FaultMix());
    int refused = 0;
    for (const auto &entry : scenario.fleet().callerRecords()) {
        const std::optional<core::Error> &error = entry.second.error;
        // A repeated reservation can be refused because the first call is still running.
        const bool isRefused = error.has_value() && error->kind != core::ErrorKind::OperationInProgress;
        INFO(entry.first.value() + (error ? std::string(" ") + core::errorAnswer(error->kind).name + " " + error->message : std::string()));
        CHECK(!isRefused);
        refused += isRefused ? 1 : 0;
    }
    CHECK(refused == 0);
    CHECK(describe(scenario.checkAll()).empty());
}
