#pragma once

#include "snipeferry/core/value.h"

#include <string>

namespace snipeferry::gateway {

/** Current value of one gauge on the metrics page. */
struct Reading
{
    std::string name;
    /** What the value refers to, for example a customer; empty if the metric has no label. */
    std::string label;
    double value = 0;

    SNIPEFERRY_VALUE(Reading, name, label, value)
};

} // namespace snipeferry::gateway
