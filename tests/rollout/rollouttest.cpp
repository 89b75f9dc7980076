#include "rolloutfleet.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using rollout::Stage;
using test::Behaviour;
using test::RolloutFleet;

namespace {

constexpr absl::Duration DEADLINE = absl::Minutes(4);
constexpr int INSTANCE_COUNT = 8;
constexpr double REQUESTS_PER_SECOND = 6;
constexpr std::uint64_t SEED_COUNT = 20;

/** Both versions behave the same. For 20 seconds both are slower and fail more often. */
Behaviour goodVersionWithNoise(bool /*isNew*/, const std::string &route, absl::Duration elapsed, double /*newShare*/)
{
    const bool isBad = elapsed > absl::Seconds(60) && elapsed < absl::Seconds(80);
    return {isBad ? 0.3 : 0.02, (route == "/rare" ? 400.0 : 100.0) * (isBad ? 3 : 1)};
}

/** Results of runs with several seeds: how many ended in which stage, and how much the new version has failed. */
struct SeedResults
{
    int done = 0;
    int takenBack = 0;
    /** Runs in which the instances ended in different stages. */
    int disagreeing = 0;
    int newVersionFailures = 0;
    int worstNewVersionFailures = 0;
    double highestNewShare = 0;
};

SeedResults runSeeds(const RolloutFleet::Model &model, double rate)
{
    SeedResults results;
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        RolloutFleet fleet(INSTANCE_COUNT, seed, DEADLINE);
        fleet.run(DEADLINE + absl::Seconds(3), rate, model);
        results.done += fleet.allAre(Stage::Done) ? 1 : 0;
        results.takenBack += fleet.allAre(Stage::TakenBack) ? 1 : 0;
        results.disagreeing += fleet.stages().size() > 1 ? 1 : 0;
        results.newVersionFailures += fleet.newFailures;
        results.worstNewVersionFailures = std::max(results.worstNewVersionFailures, fleet.newFailures);
        results.highestNewShare = std::max(results.highestNewShare, static_cast<double>(fleet.newRequests) / fleet.requests);
    }
    return results;
}

void print(const std::string &name, const SeedResults &results)
{
    WARN(name << ": seeds " << SEED_COUNT << ", done " << results.done << ", taken back " << results.takenBack << ", disagreeing " << results.disagreeing
              << ", failed at the new version in mean " << results.newVersionFailures / static_cast<double>(SEED_COUNT) << " worst "
              << results.worstNewVersionFailures << ", worst share " << results.highestNewShare);
}

} // namespace

TEST_CASE("good versions under noise are done by the deadline")
{
    const SeedResults results = runSeeds(goodVersionWithNoise, REQUESTS_PER_SECOND);
    print("good", results);
    CHECK(results.done == static_cast<int>(SEED_COUNT));
}

TEST_CASE("bad versions are taken back, whichever way they are bad")
{
    const std::map<std::string, RolloutFleet::Model> models{
        {"fails at once",
            [](bool isNew, const std::string &, absl::Duration, double) {
                return Behaviour{isNew ? 0.5 : 0.01, 100};
            }},
        {"fails later",
            [](bool isNew, const std::string &, absl::Duration elapsed, double) {
                return Behaviour{isNew && elapsed > absl::Seconds(70) ? 0.5 : 0.01, 100};
            }},
        {"fails under load",
            [](bool isNew, const std::string &, absl::Duration, double newShare) {
                return Behaviour{isNew && newShare > 0.08 ? 0.3 : 0.01, 100};
            }},
        {"fails on one route",
            [](bool isNew, const std::string &route, absl::Duration, double) {
                return Behaviour{isNew && route == "/rare" ? 0.5 : 0.01, 100};
            }},
        {"slow at once",
            [](bool isNew, const std::string &, absl::Duration, double) {
                return Behaviour{0.01, isNew ? 250.0 : 100.0};
            }},
        {"slow on one route",
            [](bool isNew, const std::string &route, absl::Duration, double) {
                return Behaviour{0.01, isNew && route == "/rare" ? 300.0 : 100.0};
            }},
    };
    for (const auto &model : models) {
        const SeedResults results = runSeeds(model.second, REQUESTS_PER_SECOND);
        print(model.first, results);
        CHECK(results.takenBack == static_cast<int>(SEED_COUNT));
    }
}

TEST_CASE("the new version's share stays under its cap at every moment")
{
    constexpr double CAP = 0.05;
    constexpr int ROUTES = 3;
    for (const double rate : {0.05, 0.5, 20.0}) {
        RolloutFleet fleet(INSTANCE_COUNT, 3, absl::Hours(10));
        for (int second = 0; second < 60; ++second) {
            fleet.run(absl::Seconds(1), rate, [](bool, const std::string &, absl::Duration, double) { return Behaviour(); });
            REQUIRE(fleet.allAre(Stage::Trial));
            REQUIRE(fleet.newRequests <= CAP * fleet.requests + INSTANCE_COUNT * ROUTES);
        }
    }
}

TEST_CASE("an instance that knows nothing of a rollout's state sends nothing to the new version")
{
    RolloutFleet fleet(1, 1, DEADLINE);
    fleet.isPlatformDown = true;
    const membership::InstanceDescription self = fleet.fleet().at("i-0").self;
    fleet.startInstance(self);
    fleet.run(absl::Seconds(30), 20, [](bool, const std::string &, absl::Duration, double) { return Behaviour(); });
    CHECK(fleet.newRequests == 0);
}

TEST_CASE("a bad version gets no traffic within seconds of the alarm, with the platform out")
{
    RolloutFleet fleet(INSTANCE_COUNT, 5, DEADLINE);
    fleet.run(absl::Seconds(5), REQUESTS_PER_SECOND, goodVersionWithNoise);
    fleet.isPlatformDown = true;
    const RolloutFleet::Model bad = [](bool isNew, const std::string &, absl::Duration, double) {
        return Behaviour{isNew ? 1.0 : 0.01, 100};
    };
    fleet.run(absl::Seconds(30), REQUESTS_PER_SECOND, bad);
    REQUIRE(fleet.allAre(Stage::TakenBack));
    CHECK(fleet.endedEvents == INSTANCE_COUNT);
    const int newRequestsBefore = fleet.newRequests;
    fleet.run(absl::Seconds(30), REQUESTS_PER_SECOND, bad);
    CHECK(fleet.newRequests == newRequestsBefore);

    // When the platform is back, an instance writes the end of the rollout to the record there. A restarted instance reads it.
    fleet.isPlatformDown = false;
    fleet.run(absl::Seconds(5), REQUESTS_PER_SECOND, bad);
    CHECK(fleet.record.find("taken_back") != std::string::npos);
    const membership::InstanceDescription self = fleet.fleet().at("i-0").self;
    fleet.fleet().kill("i-0");
    fleet.startInstance(self);
    fleet.run(absl::Seconds(5), REQUESTS_PER_SECOND, bad);
    CHECK(fleet.allAre(Stage::TakenBack));
    CHECK(fleet.newRequests == newRequestsBefore);
}

TEST_CASE("all instances end alike when the platform is out at the deadline")
{
    for (std::uint64_t seed = 1; seed <= SEED_COUNT; ++seed) {
        RolloutFleet fleet(INSTANCE_COUNT, seed, DEADLINE);
        fleet.lostAnswerRate = 0.5;
        // Depending on the seed, the outage begins between the first raise of the share and long after Done.
        fleet.run(absl::Seconds(20 + 10 * static_cast<int>(seed)), REQUESTS_PER_SECOND, goodVersionWithNoise);
        fleet.isPlatformDown = true;
        fleet.run(DEADLINE, REQUESTS_PER_SECOND, goodVersionWithNoise);
        INFO("seed " << seed);
        CHECK(fleet.stages().size() == 1);
        CHECK((fleet.allAre(Stage::Done) || fleet.allAre(Stage::TakenBack)));
        CHECK(fleet.endedEvents == INSTANCE_COUNT);
    }
}

TEST_CASE("an instance that was cut off or paused during the deadline agrees with the others once it is back")
{
    for (const bool isPaused : {false, true}) {
        RolloutFleet fleet(INSTANCE_COUNT, 7, DEADLINE);
        fleet.run(absl::Seconds(30), REQUESTS_PER_SECOND, goodVersionWithNoise);
        fleet.fleet().cut([](const membership::InstanceDescription &from, const membership::InstanceDescription &to) {
            return (from.id.value() == "i-7") != (to.id.value() == "i-7"); //
        });
        fleet.cutFromPlatform = "i-7";
        fleet.fleet().at("i-7").isFrozen = isPaused;
        fleet.run(DEADLINE, REQUESTS_PER_SECOND, goodVersionWithNoise);
        // The instance that is cut off does not know that the others are done, and rolls back at the deadline.
        CHECK(fleet.fleet().part("i-7").book.statuses().front().stage == (isPaused ? Stage::Raising : Stage::TakenBack));
        fleet.fleet().heal();
        fleet.fleet().at("i-7").isFrozen = false;
        fleet.run(absl::Seconds(20), REQUESTS_PER_SECOND, goodVersionWithNoise);
        CHECK(fleet.allAre(Stage::Done));
    }
}

TEST_CASE("a stale raise of the share fails against a newer record on the platform")
{
    RolloutFleet fleet(2, 9, DEADLINE);
    fleet.run(absl::Seconds(20), 0, goodVersionWithNoise);
    // Change the record without notifying the instances.
    fleet.record = nlohmann::json(rollout::StageNotice{RolloutFleet::ROLLOUT, Stage::TakenBack, 0, 9, "operator", false}).dump();
    fleet.recordRevision += 5;
    fleet.run(absl::Seconds(120), 20, goodVersionWithNoise);
    CHECK(fleet.record.find("taken_back") != std::string::npos);
    CHECK(fleet.allAre(Stage::TakenBack));
}
