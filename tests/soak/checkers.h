#pragma once

#include "history.h"

namespace snipeferry::soak {

/** One promise of the users' pages, checked against what was seen from outside. */
struct Checker
{
    const char *promise;
    /** Gives one line for each violation. */
    std::vector<std::string> (*check)(const History &history);
};

/** @brief All promises that the soak checks. */
const std::vector<Checker> &checkers();

} // namespace snipeferry::soak
