#pragma once

#include "snipeferry/core/value.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace snipeferry::duties {

/** Bounds of the duties of one instance at a time. A deployment without duties has an empty list. */
struct DutySettings
{
    /** "a.b.c.d:port" of the interface that takes the calls. */
    std::string address;
    /** Duties as the deployment lists them; the platform's format knows their meaning. */
    std::vector<std::string> duties;
    /** Calls per second that the interface takes from all instances together. */
    double callsPerSecond = 50;
    /** Holders must not act in turns within this time. */
    absl::Duration leaseTime = absl::Seconds(3);
    /** Calls may be late by this after their sender was resumed. Only checked and logged. */
    absl::Duration resumeTime = absl::Milliseconds(300);
    /** Length of a usage window. */
    absl::Duration windowLength = absl::Seconds(5);
    /** Time after the end of a window by which its report is due. */
    absl::Duration reportTime = absl::Seconds(10);
    /** Allowed deviation of a reported count, as a fraction. Only checked: the reports are as exact as the counts are. */
    double tolerance = 0.05;
    /** Whether the interface turns away calls without a fencing token. Calls always carry it. */
    bool isFenceRequired = false;

    SNIPEFERRY_COMPARED_BY(DutySettings, address, duties, callsPerSecond, leaseTime, resumeTime, windowLength, reportTime, tolerance, isFenceRequired)
};

} // namespace snipeferry::duties
