#include "snipeferry/gateway/backendtable.h"

#include <algorithm>
#include <cmath>

// What the memory of engines has to hold, as far as it is known.
namespace snipeferry::gateway {

namespace {

/** Most runs of all instances that one run of this instance may stand for. Regions of 64 instances have one run in 64 each on average. */
constexpr double MAX_RUNS_PER_OWN_RUN = 64;

} // namespace

std::int64_t ownTokensOf(const CallerRequest &request)
{
    std::int64_t sharedTokens = 0;
    for (std::size_t index = 0; index + 1 < request.promptParts.size(); ++index) {
        sharedTokens += request.promptParts[index].tokens;
    }
    return std::max<std::int64_t>(0, request.promptTokens - sharedTokens) + std::max<std::int64_t>(0, request.outputTokens);
}

void BackendTable::setMemoryAware(bool isMemoryAware)
{
    m_isMemoryAware = isMemoryAware;
    for (const auto &entry : m_servers) {
        updateMemoryUse(entry.second);
    }
}

std::int64_t BackendTable::memoryCapacity(const ServerState &state) const
{
    if (!m_isMemoryAware) {
        return 0;
    }
    const auto configuration = m_serviceConfigurations.find(state.server.service);
    return configuration == m_serviceConfigurations.end() || !configuration->second.isModelEngine ? 0 : configuration->second.memoryTokens;
}

std::int64_t BackendTable::runningTokens(const ServerState &state, const ServiceState &service) const
{
    return state.ownTokens + std::llround(state.peerRunning * service.tokensPerRun);
}

absl::Duration BackendTable::memoryWait(const ServerState &state, const ServiceState &service, std::int64_t ownTokens) const
{
    const std::int64_t running = runningTokens(state, service);
    const std::int64_t missing = running + ownTokens - memoryCapacity(state);
    if (running <= 0 || missing <= 0) {
        return absl::ZeroDuration();
    }
    // The running requests leave room evenly over the duration of a run. Waiting for a slot leaves room as well.
    const double wait = service.runMs * std::min(1.0, static_cast<double>(missing) / static_cast<double>(running));
    const int runs = state.running + state.peerRunning;
    const double slotWait = runs >= state.server.slots ? service.runMs * (1.0 + runs - state.server.slots) / state.server.slots : 0.0;
    return absl::Milliseconds(std::max(0.0, wait - slotWait));
}

void BackendTable::updateMemoryUse(const ServerState &state)
{
    const auto service = m_services.find(state.server.service);
    if (service == m_services.end()) {
        return;
    }
    const std::int64_t capacity = memoryCapacity(state);
    const std::int64_t running = capacity > 0 ? runningTokens(state, service->second) : 0;
    m_promptCache.setMemoryUse(state.server.id, {capacity, running, absl::Milliseconds(service->second.runMs)});
}

void BackendTable::noteTakenIn(const ServerState &state, std::int64_t tokens)
{
    if (memoryCapacity(state) <= 0) {
        return;
    }
    // The other instances are assumed to start as many runs for each of this instance as they have running.
    const double runsPerOwnRun = std::min(MAX_RUNS_PER_OWN_RUN, 1.0 + static_cast<double>(state.peerRunning) / std::max(1, state.running));
    updateMemoryUse(state);
    m_promptCache.noteTakenIn(state.server.id, std::llround(static_cast<double>(tokens) * runsPerOwnRun));
}

} // namespace snipeferry::gateway
