#include "snipeferry/limits/slotbucket.h"

#include <catch2/catch.hpp>

using namespace snipeferry::limits;

namespace {

constexpr MicroTokens TOKEN = MICRO_TOKENS_PER_TOKEN;
const absl::Time START = absl::FromUnixSeconds(1'700'000'000);

} // namespace

TEST_CASE("shares of a customer add up to its rate and burst exactly")
{
    using namespace snipeferry;
    configuration::Configuration configuration;
    configuration.regions
        = {{core::RegionId("a"), {{core::DataCentreId("a1"), 3}, {core::DataCentreId("a2"), 1}}}, {core::RegionId("b"), {{core::DataCentreId("b1"), 2}}}};
    configuration::Customer customer;
    customer.id = core::CustomerId("c");
    customer.ratePerSecond = 1001;
    customer.burst = 7;
    customer.allowedRegions = {core::RegionId("a"), core::RegionId("b")};
    MicroTokens rate = 0;
    MicroTokens burst = 0;
    for (const HomeSlot &home : homeSlots(configuration, customer)) {
        rate += home.share.ratePerSecond;
        burst += home.share.burst;
    }
    CHECK(homeSlots(configuration, customer).size() == 6);
    CHECK(rate == 1001 * TOKEN);
    CHECK(burst == 7 * TOKEN);
    customer.allowedRegions = {core::RegionId("b")};
    CHECK(homeSlots(configuration, customer).size() == 2);
}

TEST_CASE("a bucket with a low rate refills in full however often its level is read")
{
    SlotBucket bucket({20'000, TOKEN}, 0, START);
    for (int i = 1; i <= 1'000'000; ++i) {
        bucket.level(START + absl::Microseconds(i * 10));
    }
    CHECK(bucket.level(START + absl::Seconds(10)) == Approx(200'000).epsilon(0.001));
}

TEST_CASE("unused tokens are not credited if the bucket was full meanwhile")
{
    SlotBucket bucket({10 * TOKEN, 100 * TOKEN}, 100 * TOKEN, START);
    const BucketMark mark = bucket.debit(50 * TOKEN, START);
    // After five seconds the bucket is full again. It has no free capacity at that moment, so none of the 40 unused tokens can be credited later.
    bucket.debit(100 * TOKEN, START + absl::Seconds(5));
    CHECK(bucket.credit(mark, 40 * TOKEN, START + absl::Seconds(6)) == 0);
}

TEST_CASE("unused tokens are credited up to the least free capacity since the debit")
{
    SlotBucket bucket({10 * TOKEN, 100 * TOKEN}, 100 * TOKEN, START);
    const BucketMark first = bucket.debit(50 * TOKEN, START);
    const BucketMark second = bucket.debit(10 * TOKEN, START);
    CHECK(bucket.credit(first, 40 * TOKEN, START + absl::Seconds(3)) == 30 * TOKEN);
    CHECK(bucket.credit(second, 10 * TOKEN, START + absl::Seconds(3)) == 0);
}

TEST_CASE("granted tokens count against the burst until they are released")
{
    SlotBucket bucket({10 * TOKEN, 100 * TOKEN}, 100 * TOKEN, START);
    bucket.grant(60 * TOKEN, START);
    CHECK(bucket.level(START + absl::Seconds(100)) == 40 * TOKEN);
    const BucketMark mark = bucket.release(60 * TOKEN, START + absl::Seconds(100));
    CHECK(bucket.level(START + absl::Seconds(101)) == 50 * TOKEN);
    CHECK(bucket.credit(mark, 60 * TOKEN, START + absl::Seconds(101)) == 50 * TOKEN);
}

TEST_CASE("unused tokens of two debits are not credited to the same free capacity")
{
    SlotBucket bucket({10 * TOKEN, 100 * TOKEN}, 100 * TOKEN, START);
    const BucketMark first = bucket.debit(50 * TOKEN, START);
    const BucketMark second = bucket.debit(50 * TOKEN, START);
    // Nine seconds later the bucket has refilled to 90 tokens, so its free capacity is only 10 tokens before the next debit.
    bucket.debit(80 * TOKEN, START + absl::Seconds(9));
    CHECK(bucket.credit(first, 50 * TOKEN, START + absl::Seconds(9)) == 10 * TOKEN);
    CHECK(bucket.credit(second, 50 * TOKEN, START + absl::Seconds(9)) == 0);
}
