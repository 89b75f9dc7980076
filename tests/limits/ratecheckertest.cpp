#include "support/history/ratechecker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace snipeferry::history;

namespace {

const absl::Time START = absl::FromUnixSeconds(100);

// Checks every window separately, as a simple reference.
bool violates(const std::vector<Admission> &admissions, double rate, double burst)
{
    for (const Admission &first : admissions) {
        for (const Admission &last : admissions) {
            double sum = 0;
            for (const Admission &admission : admissions) {
                sum += admission.time >= first.time && admission.time <= last.time ? admission.used : 0;
            }
            if (last.time >= first.time && sum > burst + rate * absl::ToDoubleSeconds(last.time - first.time) + 1e-3) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

TEST_CASE("the rate checker finds one token too many in a long window")
{
    std::vector<Admission> admissions = {{START, 50}};
    for (int i = 1; i <= 100; ++i) {
        admissions.push_back({START + absl::Seconds(i), 10});
    }
    CHECK_FALSE(findRateViolation(admissions, {{START, 10, 50}}));
    admissions.push_back({START + absl::Seconds(60), 1});
    CHECK(findRateViolation(admissions, {{START, 10, 50}}));
}

TEST_CASE("the rate checker agrees with checking every window separately")
{
    const bool passed = rc::check("same result", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events, std::uint8_t rate, std::uint8_t burst) {
        std::vector<Admission> admissions;
        admissions.reserve(events.size());
        for (const auto &[time, used] : events) {
            admissions.push_back({START + absl::Milliseconds(time * 100), static_cast<double>(used)});
        }
        RC_ASSERT(findRateViolation(admissions, {{START, 1.0 * rate, 4.0 * burst}}).has_value() == violates(admissions, rate, 4.0 * burst));
    });
    CHECK(passed);
}

TEST_CASE("the rate checker applies a lowered limit to windows that begin later")
{
    const std::vector<LimitEpoch> epochs = {{START, 100, 100}, {START + absl::Seconds(10), 10, 10}};
    CHECK_FALSE(findRateViolation({{START + absl::Seconds(9.99), 90}, {START + absl::Seconds(10.01), 10}}, epochs));
    CHECK(findRateViolation({{START + absl::Seconds(11), 10}, {START + absl::Seconds(11.5), 10}}, epochs));
}
