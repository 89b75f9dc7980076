#include "limitfleet.h"

#include <catch2/catch.hpp>

using namespace snipeferry;
using testing::LimitFleet;
using testing::PlatformMode;

// Each test runs the sequence of events that would violate the limit if one mechanism were missing.

namespace {

const core::CustomerId CUSTOMER("bar-do-sol");
constexpr core::Tokens RATE = 1000;
constexpr core::Tokens BURST = 1000;
constexpr absl::Duration PATIENCE = absl::Milliseconds(400);
/** The instance that most of these tests send their requests to. */
constexpr std::size_t ENTRY = 0;

struct Fleet : LimitFleet
{
    explicit Fleet(core::Tokens rate = RATE)
        : Fleet(testing::customerWith(CUSTOMER.value(), rate, BURST))
    {
    }

    explicit Fleet(const configuration::Customer &customer)
        : LimitFleet(1, testing::threeRegions({customer}), 2)
    {
        latePermille = 0;
    }

    void ask(std::size_t node, core::Tokens amount, core::Tokens used, absl::Duration duration = absl::ZeroDuration())
    {
        offer(node, CUSTOMER, amount, used, duration, PATIENCE);
    }

    // Sends every node many small requests, which together need more tokens than are available.
    void flood()
    {
        for (int round = 0; round < 100; ++round) {
            for (std::size_t node = 0; node < nodes.size(); ++node) {
                ask(node, 20, 20);
            }
        }
        run(absl::Milliseconds(300));
    }

    double admittedTokens() const
    {
        double sum = 0;
        for (const testing::Offer &offer : offers) {
            sum += offer.admittedAt ? static_cast<double>(offer.used) : 0;
        }
        return sum;
    }
};

} // namespace

TEST_CASE("mechanism: unused tokens are not credited when the bucket was full meanwhile")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, 900, 0, absl::Seconds(5));
    fleet.run(absl::Seconds(4));
    fleet.flood();
    fleet.run(absl::Seconds(0.7));
    fleet.flood();
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: granted tokens stay within the donor's burst")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    // Moves all tokens to the entry node, where they stay as unused grants.
    fleet.ask(ENTRY, 1000, 0, absl::Milliseconds(1));
    fleet.run(absl::Seconds(1.3));
    fleet.flood();
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: a grant's lifetime counts from the sending of the request")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, 1000, 1000);
    fleet.freeze(ENTRY, absl::Seconds(6));
    fleet.run(absl::Seconds(5.9));
    fleet.flood();
    // The entry node runs again. Its grants arrived while it was frozen.
    fleet.flood();
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: a repeated return is credited once")
{
    // All home slots are in another region than the entry node.
    configuration::Customer customer = testing::customerWith(CUSTOMER.value(), 100, BURST);
    customer.allowedRegions = {core::RegionId("salvador")};
    Fleet fleet(customer);
    fleet.duplicatePermille = 1000;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, 1000, 250, absl::Milliseconds(300));
    fleet.run(absl::Milliseconds(600));
    fleet.flood();
    CHECK(fleet.admittedTokens() > BURST / 2.0);
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: of two simultaneous claims of a slot only one succeeds, even if the other takes effect late")
{
    Fleet fleet;
    // Instances of the same data centre do not know of each other and claim all slots at the same time.
    for (std::size_t left = 0; left < fleet.nodes.size(); ++left) {
        for (std::size_t right = 0; right < fleet.nodes.size(); ++right) {
            fleet.cuts.insert({left, right});
        }
    }
    fleet.run(absl::Milliseconds(300));
    for (std::size_t node = 1; node < fleet.nodes.size(); node += 2) {
        fleet.nodes[node].platform = PlatformMode::LateEffect;
    }
    fleet.run(absl::Milliseconds(700));
    CHECK_FALSE(fleet.store.changes().empty());

    // The instances with the successful claims lose their connection to the platform, and the late claims of the others take effect.
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.nodes[node].platform = node % 2 == 0 ? PlatformMode::Down : PlatformMode::Up;
    }
    fleet.run(absl::Seconds(4));
    fleet.flood();
    CHECK(fleet.admittedTokens() > 0);
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: a new owner waits until grants of the previous owner have expired")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, 1000, 0, absl::Milliseconds(1));
    fleet.run(absl::Milliseconds(250));
    for (std::size_t node = 1; node < fleet.nodes.size(); ++node) {
        fleet.restart(node);
    }
    fleet.run(absl::Seconds(1.1));
    fleet.flood();
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: a restarted owner starts empty")
{
    Fleet fleet(10);
    fleet.run(absl::Seconds(4));
    fleet.flood();
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.restart(node);
    }
    fleet.run(absl::Seconds(30));
    fleet.flood();
    CHECK(fleet.admittedTokens() > BURST);
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: an owner that drains issues no more tokens")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    // The entry node does not learn of the new owner and keeps sending its requests to the old one.
    fleet.nodes[ENTRY].platform = PlatformMode::Down;
    fleet.nodes[3].platform = PlatformMode::AnswersLost;
    fleet.drain(3);
    fleet.run(absl::Seconds(12));
    fleet.nodes[3].isDraining = false;
    fleet.run(absl::Seconds(1));
    fleet.flood();
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("mechanism: shares do not grow before all owners use a new layout")
{
    configuration::Customer customer = testing::customerWith(CUSTOMER.value(), RATE, BURST);
    customer.allowedRegions = {core::RegionId("recife")};
    Fleet fleet(customer);
    fleet.run(absl::Seconds(4));
    // The owners of the old shares do not receive the new configuration.
    for (std::size_t insideNode = 0; insideNode < 2; ++insideNode) {
        fleet.nodes[insideNode].platform = PlatformMode::Down;
        for (std::size_t outsideNode = 2; outsideNode < fleet.nodes.size(); ++outsideNode) {
            fleet.cuts.insert({insideNode, outsideNode});
            fleet.cuts.insert({outsideNode, insideNode});
        }
    }
    configuration::Configuration moved = testing::threeRegions({testing::customerWith(CUSTOMER.value(), RATE, BURST)});
    moved.revision = 2;
    moved.layoutRevision = 2;
    fleet.accept(moved);
    fleet.run(absl::Seconds(8));
    fleet.restart(4);
    fleet.run(absl::Seconds(8));
    fleet.flood();
    CHECK(fleet.admittedTokens() > BURST / 2.0);
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());

    // After these owners have received the new configuration, all shares are in use.
    fleet.cuts.clear();
    fleet.nodes[0].platform = PlatformMode::Up;
    fleet.nodes[1].platform = PlatformMode::Up;
    fleet.run(absl::Seconds(10));
    fleet.ask(ENTRY, BURST - 1, BURST - 1);
    fleet.run(absl::Seconds(1));
    CHECK(fleet.offers.back().admittedAt);
    INFO(fleet.violation().value_or("no violation"));
    CHECK_FALSE(fleet.violation().has_value());
}

TEST_CASE("tokens of all instances cover one request that needs nearly the whole burst")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, 1000, 1000);
    fleet.run(absl::Seconds(1));
    CHECK(fleet.offers.back().admittedAt);
    CHECK(fleet.offers.back().decidedAt - fleet.offers.back().offeredAt < absl::Milliseconds(200));
}

TEST_CASE("a request above the burst and one above the rate are refused at once, the latter with a time to retry")
{
    Fleet fleet;
    fleet.run(absl::Seconds(4));
    fleet.ask(ENTRY, BURST + 1, 1);
    CHECK(fleet.offers.back().refusal->kind == core::ErrorKind::RequestExceedsBurst);
    fleet.ask(ENTRY, 1000, 1000);
    fleet.run(absl::Milliseconds(200));
    fleet.ask(ENTRY, 1000, 1000);
    fleet.run(absl::Milliseconds(1));
    REQUIRE(fleet.offers.back().refusal);
    CHECK(fleet.offers.back().refusal->kind == core::ErrorKind::RateExceeded);
    CHECK(*fleet.offers.back().refusal->retryAfter > absl::Seconds(0.7));
    CHECK(*fleet.offers.back().refusal->retryAfter < absl::Seconds(0.9));
}
