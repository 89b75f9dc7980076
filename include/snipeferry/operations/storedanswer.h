#pragma once

#include "snipeferry/node/messages.h"

#include <string>
#include <vector>

namespace snipeferry::operations {

/** Answer of a finished operation, stored to be sent again to repeated calls. */
struct StoredAnswer
{
    int status = 0;
    std::vector<node::Header> headers;
    std::string body;

    SNIPEFERRY_VALUE(StoredAnswer, status, headers, body)
};

} // namespace snipeferry::operations
