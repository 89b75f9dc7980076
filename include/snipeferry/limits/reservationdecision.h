#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/ids.h"

#include <optional>

namespace snipeferry::limits {

/** Result of one reservation. */
struct ReservationDecision
{
    core::RequestId request;
    /** Why the reservation was refused; absent if the tokens are reserved. */
    std::optional<core::Error> refusal;
};

} // namespace snipeferry::limits
