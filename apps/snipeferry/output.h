#pragma once

#include "commands.h"
#include "snipeferry/core/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace snipeferry::cli {

/** @brief Prints a document as JSON. */
void printJson(const nlohmann::json &document);

/** @brief Prints a failure, as text on standard error or as JSON on standard output, and passes the code on. */
ExitCode fail(const Options &options, ExitCode code, const std::string &message);

/** @brief Prints an error of the library, with the exit code of its kind. */
ExitCode fail(const Options &options, const core::Error &error);

/** @brief Prints a JSON document as indented "key: value" lines, for people. */
void printText(const nlohmann::json &document);

} // namespace snipeferry::cli
