#pragma once

#include "enginefleet.h"

/** What the users' pages promise about crashing prompt parts and named limits, for tests with an EngineFleet. */
namespace snipeferry::tests {

/** Time within which an instance that is in touch with the others has to act on what the fleet has seen. */
constexpr absl::Duration CONTACT_TIME = absl::Seconds(5);

/** Crashes from which the bound holds, and the requests that may still reach an engine then. */
constexpr std::size_t COUNTED_CRASHES = 5;
constexpr int MAX_LATER_ARRIVALS = 3;

/** Crashes of one request from which the bound on its runs holds. */
constexpr std::size_t COUNTED_REQUEST_CRASHES = 3;

/** Span in which requests to a backend server with a limit are counted, and how many more than the limit's it may get. */
constexpr absl::Duration LIMIT_SPAN = absl::Seconds(4);
constexpr double LIMIT_FACTOR = 1.5;
constexpr int LIMIT_SLACK = 5;

/** Requests that a cold backend server may get in one second. */
inline int allowedCold(double perSecond)
{
    constexpr double COLD_FACTOR = 1.5;
    constexpr int COLD_SLACK = 3;
    return static_cast<int>(COLD_FACTOR * perSecond) + COLD_SLACK;
}

/** Time of the crash from which arrivals of a part are bounded, or of the last one if there are fewer. */
inline absl::Time decisiveCrash(const EngineFleet &fleet, const std::string &part)
{
    const std::vector<absl::Time> &crashes = fleet.crashes(part);
    return crashes.empty() ? absl::InfinitePast() : crashes[std::min(crashes.size(), COUNTED_CRASHES) - 1];
}

/** Arrivals of a part beyond the time from which they are bounded. */
inline int boundedArrivals(const EngineFleet &fleet, const std::string &part)
{
    return fleet.crashes(part).size() < COUNTED_CRASHES ? 0 : fleet.arrivals(part, decisiveCrash(fleet, part) + CONTACT_TIME);
}

/** Arrivals of a request beyond the time from which they are bounded. */
inline int boundedCopies(const EngineFleet &fleet, const std::string &body)
{
    const std::vector<absl::Time> &crashes = fleet.crashes(body);
    return crashes.size() < COUNTED_REQUEST_CRASHES ? 0 : fleet.arrivalsOfBody(body, crashes[COUNTED_REQUEST_CRASHES - 1] + CONTACT_TIME);
}

/** Requests that a backend server with a limit may get in a span. */
inline int allowed(double perSecond)
{
    return static_cast<int>(LIMIT_FACTOR * perSecond * absl::ToDoubleSeconds(LIMIT_SPAN)) + LIMIT_SLACK;
}

} // namespace snipeferry::tests
