#pragma once

#include "snipeferry/core/value.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeferry::duties {

/** Number of a usage window: windows are numbered from the start of 1970 in true time. */
using WindowNumber = std::int64_t;

/** Runs that began, by customer. */
using UsageCounts = std::map<std::string, std::int64_t>;

/** Runs that began in one window. */
struct WindowUsage
{
    WindowNumber window = 0;
    UsageCounts counts;

    SNIPEFERRY_VALUE(WindowUsage, window, counts)
};

/** Cumulative counts of one instance for its last windows, told to the aggregators of its region. */
struct UsageNotice
{
    /** Process of the sender: counts of a restarted instance are added to those of its earlier process. */
    std::uint64_t process = 0;
    /** The sender's wall clock when it sent this, in milliseconds since the start of 1970. */
    std::int64_t sentAtMs = 0;
    std::vector<WindowUsage> windows;

    SNIPEFERRY_VALUE(UsageNotice, process, sentAtMs, windows)
};

/** @brief The window that contains a time. @param length length of a window, at least a millisecond */
WindowNumber windowAt(absl::Time wall, absl::Duration length);

/** @brief First instant after a window. */
absl::Time windowEnd(WindowNumber window, absl::Duration length);

} // namespace snipeferry::duties
