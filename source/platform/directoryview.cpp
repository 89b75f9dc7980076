#include "directoryview.h"

#include "snipeferry/platform/keys.h"

#include <nlohmann/json.hpp>

namespace snipeferry::platform {

namespace {

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

template<typename Entry>
void takeEntry(std::map<std::string, Entry> &entries, const WatchEvent &event)
{
    entries.erase(event.key);
    if (!event.value.has_value()) {
        return;
    }
    try {
        entries.emplace(event.key, nlohmann::json::parse(*event.value).get<Entry>());
    } catch (const nlohmann::json::exception &) {
        // Left out until the platform writes it again.
        return;
    }
}

} // namespace

DirectorySnapshot DirectoryView::take(const std::vector<WatchEvent> &events)
{
    for (const WatchEvent &event : events) {
        if (hasPrefix(event.key, DIRECTORY_PREFIX)) {
            takeEntry(m_backendServers, event);
        } else if (hasPrefix(event.key, INSTANCE_LIST_PREFIX)) {
            takeEntry(m_instances, event);
        }
    }
    DirectorySnapshot snapshot;
    for (const auto &[key, server] : m_backendServers) {
        snapshot.backendServers.push_back(server);
    }
    for (const auto &[key, instance] : m_instances) {
        snapshot.instances.push_back(instance);
    }
    return snapshot;
}

} // namespace snipeferry::platform
