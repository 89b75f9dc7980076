#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/settings/yamlreader.h"

/**
 * Intents: YAML files in which operators describe changes of the configuration.
 *
 * An intent contains only what it adds, changes or removes; everything else stays as it is. docs/CLI.md lists the keys.
 */
namespace snipeferry::configuration {

/**
 * @brief Applies an intent to a configuration.
 * @param document the intent
 * @param base the accepted configuration
 * @return the resulting configuration, with customers' keys replaced by their digests; or ConfigurationInvalid with one line for each fault
 */
core::Expected<Configuration> applyIntent(settings::YamlDocument &document, const Configuration &base);

/**
 * @brief Checks an intent without the configuration that it will be applied to.
 *
 * References to regions, services and other items that the intent does not define are not checked.
 */
core::Expected<void> checkIntent(settings::YamlDocument &document);

/** @brief Returns the digest of a key in an intent. The key is given as plain text, or as "sha256:" and its digest. Returns nothing if it is neither. */
std::optional<std::string> keyDigestOf(const std::string &given);

} // namespace snipeferry::configuration
