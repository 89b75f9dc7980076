#include "snipeferry/overload/urgency.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

// Guards against customers' priorities that replace those of the routes: quick questions then wait behind long drafts of the same customers.
TEST_CASE("a route's priority orders the requests of customers with the same priority")
{
    CHECK(overload::urgencyOf(1, 0) < overload::urgencyOf(1, 2));
    CHECK(overload::urgencyOf(0, 0) < overload::urgencyOf(0, 1));
}

TEST_CASE("a customer's priority goes before that of the route")
{
    CHECK(overload::urgencyOf(0, 2) < overload::urgencyOf(1, 0));
    CHECK(overload::urgencyOf(1, 2) < overload::urgencyOf(2, 0));
}

TEST_CASE("a request without a customer's priority is as urgent as its route")
{
    CHECK(overload::urgencyOf(std::nullopt, 0) == 0);
    CHECK(overload::urgencyOf(std::nullopt, 0) < overload::urgencyOf(std::nullopt, 1));
    CHECK(overload::urgencyOf(std::nullopt, 1) < overload::urgencyOf(std::nullopt, 2));
}

TEST_CASE("priorities out of range are clamped to the urgency levels")
{
    CHECK(overload::urgencyOf(-4, -1) == 0);
    CHECK(overload::urgencyOf(100, 100) == overload::URGENCY_LEVELS - 1);
    CHECK(overload::urgencyOf(std::nullopt, 7) == overload::URGENCY_LEVELS - 1);
}
