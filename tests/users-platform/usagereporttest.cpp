#include "users/usersduties.h"
#include "usersfixture.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace snipeferry;
using namespace snipeferry::testing;

TEST_CASE("a real gateway reports the requests that runners began, by window and customer, in time")
{
    UsersFixture fixture;
    std::unique_ptr<standins::UsersDuties> interface;
    const std::string address = fixture.onStandins([&] {
        interface = std::make_unique<standins::UsersDuties>(fixture.loop());
        interface->refuse(429, 2);
        return interface->address();
    });
    fixture.startGateway("", absl::StrCat("duties: {address: \"", address, "\", list: [metering]}\n"));
    REQUIRE(fixture.servesWithin(absl::Seconds(10)));
    int asked = 0;
    const absl::Time end = absl::Now() + absl::Seconds(12);
    while (absl::Now() < end) {
        for (const char *path : {"/plan/x", "/reserve/x"}) {
            REQUIRE(UsersFixture::isWhole(path, fixture.ask(path, "k-hotel")));
            ++asked;
        }
        absl::SleepFor(absl::Milliseconds(50));
    }
    const auto reported = [&] {
        return fixture.onStandins([&] {
            std::map<std::int64_t, std::int64_t> hotel;
            for (const standins::UsageSeen &report : interface->reports()) {
                const auto it = report.counts.find("hotel");
                hotel[report.window] = it == report.counts.end() ? 0 : it->second;
            }
            std::int64_t sum = 0;
            for (const auto &entry : hotel) {
                sum += entry.second;
            }
            return sum;
        });
    };
    CHECK(UsersFixture::eventually([&] { return reported() == asked; }, absl::Seconds(12)));
    CHECK(reported() == asked);
    const std::vector<standins::UsageSeen> reports = fixture.onStandins([&] { return interface->reports(); });
    for (const standins::UsageSeen &report : reports) {
        CHECK(report.holder == "gw-1");
        CHECK(report.atMs <= (report.window + 1) * 5000 + 10000);
        CHECK(report.token == reports.front().token);
    }
    fixture.onStandins([&] { interface.reset(); });
}
