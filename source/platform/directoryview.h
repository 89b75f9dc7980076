#pragma once

#include "snipeferry/platform/directory.h"
#include "snipeferry/platform/messages.h"

#include <map>
#include <string>

namespace snipeferry::platform {

/**
 * Decodes directory and instance list, whose values are the JSON of BackendServer and ListedInstance.
 *
 * An entry that cannot be decoded is left out; the others stand.
 */
class DirectoryView
{
public:
    /** @brief Takes over changes and gives the directory as it is now. */
    DirectorySnapshot take(const std::vector<WatchEvent> &events);

private:
    std::map<std::string, BackendServer> m_backendServers;
    std::map<std::string, ListedInstance> m_instances;
};

} // namespace snipeferry::platform
