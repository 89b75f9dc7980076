#include "snipeferry/admission/requestqueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace snipeferry;

namespace {

const absl::Time start = absl::FromUnixSeconds(1'700'000'000);

admission::QueuedRequest request(const std::string &customer, int number, core::Tokens cost = 100, int weight = 1)
{
    admission::QueuedRequest request;
    request.request = core::RequestId(customer + "-" + std::to_string(number));
    request.customer = core::CustomerId(customer);
    request.service = core::ServiceId("chat");
    request.weight = weight;
    request.cost = cost;
    request.deadline = start + absl::Seconds(60 + number);
    return request;
}

bool canAlwaysRun(const admission::QueuedRequest &)
{
    return true;
}

std::string popNext(admission::RequestQueue &queue, absl::Time now = start)
{
    const std::optional<admission::QueuedRequest> taken = queue.pop(now, canAlwaysRun);
    return taken ? taken->request.value() : "none";
}

} // namespace

TEST_CASE("a customer with many waiting requests does not delay another one")
{
    admission::RequestQueue queue({});
    for (int i = 0; i < 100; ++i) {
        REQUIRE(queue.push(request("heavy", i), start));
    }
    CHECK(popNext(queue) == "heavy-0");
    for (int i = 0; i < 3; ++i) {
        REQUIRE(queue.push(request("light", i), start));
    }
    int heavyCount = 0;
    int lightCount = 0;
    while (lightCount < 3) {
        (popNext(queue).rfind("light", 0) == 0 ? lightCount : heavyCount) += 1;
    }
    CHECK(heavyCount <= 3);
}

TEST_CASE("requests of one customer are dispatched by earliest deadline")
{
    admission::RequestQueue queue({});
    REQUIRE(queue.push(request("a", 5), start));
    REQUIRE(queue.push(request("a", 1), start));
    CHECK(popNext(queue) == "a-1");
    CHECK(popNext(queue) == "a-5");
    CHECK(popNext(queue) == "none");
}

TEST_CASE("held requests wait and gain no priority meanwhile")
{
    admission::RequestQueue queue({});
    for (int i = 0; i < 5; ++i) {
        admission::QueuedRequest held = request("held", i);
        held.holdUntil = start + absl::Seconds(30);
        REQUIRE(queue.push(held, start));
    }
    for (int i = 0; i < 20; ++i) {
        REQUIRE(queue.push(request("other", i), start));
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(popNext(queue).rfind("other", 0) == 0);
    }
    int heldCount = 0;
    for (int i = 0; i < 6; ++i) {
        heldCount += popNext(queue, start + absl::Seconds(30)).rfind("held", 0) == 0 ? 1 : 0;
    }
    CHECK((heldCount == 3 || heldCount == 4));
}

TEST_CASE("a request that cannot start before its deadline is refused at once with a retry time")
{
    admission::RequestQueue queue({});
    const core::Expected<void> refused = queue.push(request("a", 0), start + absl::Seconds(75));
    REQUIRE(!refused);
    CHECK(refused.error().kind == core::ErrorKind::DeadlineUnreachable);
    CHECK(refused.error().retryAfter == absl::Seconds(15));
    CHECK(refused.error().ranState == core::RanState::NotRun);
}

TEST_CASE("a few heavy customers never fill the queue")
{
    admission::RequestQueue queue({100, 60});
    for (int i = 0; i < 400; ++i) {
        (void)queue.push(request("heavy" + std::to_string(i % 4), i), start);
    }
    CHECK(queue.size() < 100);
    CHECK(queue.push(request("light", 0), start));
    const core::Expected<void> refused = queue.push(request("heavy0", 999), start);
    REQUIRE(!refused);
    CHECK(refused.error().kind == core::ErrorKind::QueueFull);
    CHECK(refused.error().retryAfter.has_value());
}

TEST_CASE("expired and removed requests and those of a withdrawn customer leave nothing in the queue")
{
    admission::RequestQueue queue({});
    for (int i = 0; i < 3; ++i) {
        REQUIRE(queue.push(request("a", i), start));
        REQUIRE(queue.push(request("b", i), start));
    }
    CHECK(queue.takeExpired(start + absl::Seconds(61)).size() == 2);
    CHECK(queue.remove(core::RequestId("a-1")));
    CHECK_FALSE(queue.remove(core::RequestId("a-1")));
    CHECK(queue.takeCustomer(core::CustomerId("b")).size() == 2);
    CHECK(queue.waitingCost(core::ServiceId("chat")) == 100);
    CHECK(popNext(queue) == "a-2");
    CHECK(queue.size() == 0);
}

TEST_CASE("costAhead counts the requests that fair order puts first")
{
    admission::RequestQueue queue({});
    for (int i = 0; i < 50; ++i) {
        REQUIRE(queue.push(request("heavy", i), start));
    }
    CHECK(queue.costAhead(core::CustomerId("light"), 1, 100) == 100);
    CHECK(queue.costAhead(core::CustomerId("heavy"), 1, 100) == 5000);
}

TEST_CASE("waiting customers are served in proportion to their weights")
{
    const bool passed = rc::check("served cost divided by weight differs by at most twice the largest request", [] {
        admission::RequestQueue queue({2000, 700});
        std::map<std::string, int> weights{{"a", 1}, {"b", *rc::gen::inRange(1, 5)}, {"c", 1}};
        for (const auto &customer : weights) {
            for (int i = 0; i < 200; ++i) {
                RC_ASSERT(queue.push(request(customer.first, i, *rc::gen::inRange(50, 150), customer.second), start).has_value());
            }
        }
        std::map<std::string, double> served;
        for (int i = 0; i < 120; ++i) {
            const std::optional<admission::QueuedRequest> taken = queue.pop(start, canAlwaysRun);
            RC_ASSERT(taken.has_value());
            served[taken->customer.value()] += static_cast<double>(taken->cost) / taken->weight;
        }
        for (const auto &left : weights) {
            for (const auto &right : weights) {
                RC_ASSERT(std::abs(served[left.first] - served[right.first]) <= 300);
            }
        }
    });
    CHECK(passed);
}
