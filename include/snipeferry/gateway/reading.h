#pragma once

#include "snipeferry/core/value.h"

#include <string>

namespace snipeferry::gateway {

/** A value of this moment for the metrics page. */
struct Reading
{
    std::string name;
    /** What it is about, for example a customer; empty if there is one only. */
    std::string label;
    double value = 0;

    SNIPEFERRY_VALUE(Reading, name, label, value)
};

} // namespace snipeferry::gateway
