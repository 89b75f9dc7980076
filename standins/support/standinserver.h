#pragma once

#include "support/threadedserver.h"

#include <cstdint>
#include <string>

namespace snipeferry::standins {

/**
 * @brief Runs a stand-in until a termination signal: listens, prints "port=N", and serves.
 * @param port 0 lets the kernel choose
 * @return the exit code of the process
 */
int serve(std::uint16_t port, const StandinHandler &handler);

/** @brief Blocks the signals that serve() waits for; called before any thread starts. */
void blockTerminationSignals();

} // namespace snipeferry::standins
