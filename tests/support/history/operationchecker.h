#pragma once

#include "snipeferry/core/error.h"

#include <optional>
#include <string>
#include <vector>

/**
 * Checker for a history of operations: each key must have at most one effect, and answers must state correctly whether the operation ran.
 */
namespace snipeferry::history {

/** The effect of a request at a backend server. */
struct Effect
{
    std::string key;
    std::string request;
};

/** The final answer to a call. */
struct OperationAnswer
{
    std::string key;
    std::string request;
    core::RanState ranState = core::RanState::Unknown;
};

/** @brief Finds a second effect under a key, a false "not_run" or a false "ran". @return a description of the first violation */
std::optional<std::string> findOperationViolation(const std::vector<Effect> &effects, const std::vector<OperationAnswer> &answers);

} // namespace snipeferry::history
