#pragma once

#include "world.h"

#include <vector>

namespace snipeferry::soak {

class FaultDesk;

/** A kind of trouble that the soak makes, once at a moment that it is given. */
struct FaultKind
{
    const char *name;
    /** Harms something that the desk's random numbers choose, and sets up its end. */
    void (*strike)(World &world, FaultDesk &desk);
};

/** @brief All kinds of trouble. */
const std::vector<FaultKind> &faultKinds();

/** Strikes the world at random moments, several faults at a time, and ends them. */
class FaultDesk
{
public:
    FaultDesk(World &world, std::uint64_t seed);

    /** @brief Lets faults come for a time; afterwards all of them are over. @return the names, in order */
    std::vector<std::string> strikeFor(absl::Duration time);

    /** @brief Does something later, at the end of the faults at the latest. */
    void later(absl::Duration delay, std::function<void()> action);

    /** @brief A random time. */
    absl::Duration between(absl::Duration shortest, absl::Duration longest);
    std::size_t oneOf(std::size_t count);

private:
    struct Ending
    {
        std::function<void()> action;
        core::Subscription timer;
        bool isDone = false;
    };

    void endAll();

    World &m_world;
    /** Apart from the traffic's, so that a seed gives the same faults however many requests there are. */
    std::mt19937_64 m_random;
    std::vector<std::shared_ptr<Ending>> m_endings;
};

} // namespace snipeferry::soak
