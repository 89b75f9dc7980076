#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/http/backendclient.h"
#include "snipeferry/http/backendmonitor.h"
#include "snipeferry/http/callerserver.h"
#include "snipeferry/node/node.h"
#include "snipeferry/peers/peertransport.h"
#include "snipeferry/platform/platformclient.h"
#include "snipeferry/supervision/coreloop.h"

#include <string>

/**
 * Settings of the daemon.
 */
namespace snipeferry::settings {

/** All settings of one instance; see docs/SETTINGS.md. */
struct DaemonSettings
{
    node::NodeSettings node;
    supervision::CoreLoopSettings loop;
    http::CallerServerSettings callers;
    http::BackendClientSettings backends;
    http::BackendMonitorSettings monitor;
    peers::PeerSettings peers;
    platform::PlatformSettings platform;
    std::string operationsAddress;
    std::string metricsAddress;
    /** Log lines kept for explanations. */
    std::size_t journalLines = 20'000;
    /** Longest time that a drain waits for open requests. */
    absl::Duration drainTimeout = absl::Minutes(30);
};

/**
 * @brief Reads the daemon's settings.
 * @return the settings; or ConfigurationInvalid with one line for each problem
 */
core::Expected<DaemonSettings> loadDaemonSettings(const std::string &file);

/** @brief Reads settings from text; the file name is used in problems only. */
core::Expected<DaemonSettings> parseDaemonSettings(const std::string &file, const std::string &text);

} // namespace snipeferry::settings
