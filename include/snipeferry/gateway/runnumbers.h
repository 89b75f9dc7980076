#pragma once

#include "snipeferry/gateway/ports.h"

namespace snipeferry::gateway {

/** Numbers the runs of one process. */
class RunNumbers
{
public:
    explicit RunNumbers(Number first)
        : m_next(first)
    {
    }

    /** @brief The number of a new run; never 0. */
    Number next()
    {
        return m_next++;
    }

private:
    Number m_next;
};

} // namespace snipeferry::gateway
