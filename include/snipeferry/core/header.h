#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

namespace snipeferry::core {

/** One header of an HTTP request or response. */
struct Header
{
    std::string name;
    std::string value;

    SNIPEFERRY_VALUE(Header, name, value)
};

using Headers = std::vector<Header>;

} // namespace snipeferry::core
