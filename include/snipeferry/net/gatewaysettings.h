#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/gateway.h"
#include "snipeferry/net/backendpool.h"
#include "snipeferry/net/stdoutjournal.h"
#include "snipeferry/net/storeclient.h"

#include <string>
#include <vector>

namespace snipeferry::net {

/** The machine on which a gateway process runs. */
struct MachineSettings
{
    /** Memory that the process may use, in MB. */
    double memoryMb = 256;
    /** Share of a processor core that the process gets. */
    double cpuShare = 0.25;
};

/** Settings of one gateway process. */
struct GatewayProcessSettings
{
    MachineSettings machine;
    gateway::GatewaySettings gateway;
    /** "a.b.c.d:port" for callers, for the directory, for readiness, and for metrics; the last may be empty. */
    std::string directoryAddress;
    std::string readinessAddress;
    std::string metricsAddress;
    StoreClientSettings store;
    BackendPoolSettings backends;
    JournalSettings journal;
    /** How long callers may keep a directory answer. */
    absl::Duration directoryTimeToLive = absl::Seconds(2);
    /** Time between the order to stop and the end that the supervisor forces. */
    absl::Duration stopGrace = absl::Seconds(8);
};

/** @brief Reads and checks a settings file; the error names every fault with file, line, key, found and allowed. */
core::Expected<GatewayProcessSettings> loadGatewaySettings(const std::string &file);

/** @brief The same for text; the file name is used in faults only. */
core::Expected<GatewayProcessSettings> parseGatewaySettings(const std::string &file, const std::string &text);

/** What differs between the settings in force and those of a reload, by the keys of the settings file. */
struct SettingsChange
{
    /** Takes effect at once. */
    std::vector<std::string> applied;
    /** Takes effect at the next start. */
    std::vector<std::string> kept;
};

/**
 * @brief Takes over from fresh settings what can change while the process runs, all of it or nothing.
 * @param settings the settings in force
 */
SettingsChange applyReload(GatewayProcessSettings &settings, const GatewayProcessSettings &fresh);

} // namespace snipeferry::net
