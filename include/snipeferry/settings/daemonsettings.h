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

/** All settings of one instance. docs/SETTINGS.md describes the settings file. */
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
    /** Most log lines that the decision journal stores, for /explain on the operations server. */
    std::size_t journalLines = 20'000;
    /** Longest time that a drain waits for open requests to finish. */
    absl::Duration drainTimeout = absl::Minutes(30);
};

/**
 * @brief Loads the settings of the daemon from a YAML file.
 * @return the settings, or an error of kind ErrorKind::ConfigurationInvalid with one line for each problem
 */
core::Expected<DaemonSettings> loadDaemonSettings(const std::string &file);

/** @brief Parses settings from YAML text. The file name appears only in the texts of problems. */
core::Expected<DaemonSettings> parseDaemonSettings(const std::string &file, const std::string &text);

} // namespace snipeferry::settings
