#pragma once

#include "snipeferry/configuration/configuration.h"

#include <string>
#include <vector>

namespace snipeferry::configuration {

/** @brief Whether a text is a SHA-256 digest in lower-case hexadecimal. */
bool isKeyDigest(const std::string &text);

/**
 * @brief Checks the values of a configuration and the references between its parts.
 * @return one line for each fault, without keys or digests; empty if the configuration is valid
 */
std::vector<std::string> findFaults(const Configuration &configuration);

} // namespace snipeferry::configuration
