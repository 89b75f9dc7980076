#include "snipeferry/configuration/intent.h"

#include "intentreader.h"
#include "snipeferry/configuration/validation.h"
#include "snipeferry/core/digest.h"

#include <algorithm>

namespace snipeferry::configuration {

namespace {

constexpr const char DIGEST_PREFIX[] = "sha256:";
constexpr std::size_t MIN_KEY_CHARACTERS = 8;

} // namespace

core::Expected<Configuration> applyIntent(settings::YamlDocument &document, const Configuration &base)
{
    Configuration configuration = base;
    IntentReader(configuration, true).read(document.root());
    const core::Expected<void> read = document.result();
    if (!read.has_value()) {
        return tl::make_unexpected(read.error());
    }
    // An item that the intent does not change may refer to one that it removes.
    const std::vector<std::string> faults = findFaults(configuration);
    if (!faults.empty()) {
        std::string message;
        for (const std::string &fault : faults) {
            message += (message.empty() ? "" : "\n") + fault;
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, message));
    }
    return configuration;
}

core::Expected<void> checkIntent(settings::YamlDocument &document)
{
    Configuration scratch;
    IntentReader(scratch, false).read(document.root());
    return document.result();
}

std::optional<std::string> keyDigestOf(const std::string &given)
{
    if (given.compare(0, sizeof(DIGEST_PREFIX) - 1, DIGEST_PREFIX) == 0) {
        std::string digest = given.substr(sizeof(DIGEST_PREFIX) - 1);
        return isKeyDigest(digest) ? std::optional<std::string>(std::move(digest)) : std::nullopt;
    }
    const bool isPrintable = std::all_of(given.begin(), given.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (given.size() < MIN_KEY_CHARACTERS || !isPrintable) {
        return std::nullopt;
    }
    return core::sha256Hex(given);
}

} // namespace snipeferry::configuration
