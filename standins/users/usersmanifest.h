#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace snipeferry::standins {

/** A tenant of a manifest. */
struct UsersTenant
{
    std::string name;
    std::vector<std::string> keys;
    /** Tokens a second, and as many at once; 0 for no limit. */
    std::int64_t rate = 0;
};

/** What the operator writes under op/config: four routes to two services, one for each kind of request. */
struct UsersManifest
{
    static constexpr const char *HOST = "counter.example";
    static constexpr const char *ENGINE = "engine";
    static constexpr const char *BOOKING = "booking";
    /** A stream that may go on at another runner. */
    static constexpr const char *PLAN = "/plan/";
    /** A stream that may not. */
    static constexpr const char *ANSWER = "/answer/";
    /** Runs once at most. */
    static constexpr const char *RESERVE = "/reserve/";
    /** May run any number of times. */
    static constexpr const char *STOCK = "/stock/";

    std::int64_t version = 1;
    std::vector<UsersTenant> tenants;
    /** Leaves the route of STOCK out. */
    bool hasStock = true;

    std::string json() const;
};

} // namespace snipeferry::standins
