#pragma once

#include "exitcode.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace snipeferry::cli {

/** What all commands are given. */
struct Options
{
    /** Addresses of the platform, as "a.b.c.d:port". */
    std::vector<std::string> platforms;
    /** Operations address of an instance, as "a.b.c.d:port". */
    std::string instance;
    /** Output is one JSON document on standard output. */
    bool isJson = false;
};

/** @brief Checks an intent; with a platform also against the accepted configuration. */
ExitCode checkFile(const Options &options, const std::string &file);

/** @brief Makes a plan from an intent and saves it. */
ExitCode planIntent(const Options &options, const std::string &file, const std::string &planFile);

/** @brief Confirms a saved plan. */
ExitCode confirmPlan(const Options &options, const std::string &planFile);

/** @brief Shows an instance's state; without an instance, the accepted revision at the platform. */
ExitCode showStatus(const Options &options);

/** What `watch` waits for. */
struct WatchOptions
{
    absl::Duration interval = absl::Seconds(1);
    /** Ends when the instance has this revision; 0 for never. */
    std::int64_t revision = 0;
    absl::Duration timeout = absl::InfiniteDuration();
};

/** @brief Prints an instance's state each time it changes. */
ExitCode watchInstance(const Options &options, const WatchOptions &watch);

/** @brief Asks an instance to leave. */
ExitCode drainInstance(const Options &options);

/** @brief Shows what an instance decided about a request. */
ExitCode explainRequest(const Options &options, const std::string &request);

/** @brief Shows what the logs of any instances say about a request; "-" is standard input. */
ExitCode explainFromLogs(const Options &options, const std::string &request, const std::vector<std::string> &files);

} // namespace snipeferry::cli
