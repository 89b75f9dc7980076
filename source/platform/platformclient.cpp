#include "snipeferry/platform/platformclient.h"

#include "callqueue.h"
#include "directoryview.h"
#include "prefixwatch.h"

#include <utility>

namespace snipeferry::platform {

class PlatformClient::Impl
{
public:
    Impl(net::EventLoop &loop, PlatformSettings settings, messages::EventSink sink)
        : m_settings(std::move(settings)),
          m_sink(std::move(sink)),
          m_calls(loop, m_settings, m_sink, m_counters)
    {
        if (m_settings.endpoints.empty()) {
            return;
        }
        for (const std::string &prefix : m_settings.watchedPrefixes) {
            m_watches.push_back(
                std::make_unique<PrefixWatch>(loop, m_settings, prefix, m_counters, [this](const std::vector<WatchEvent> &events) { post(events); }));
        }
        if (m_settings.watchesDirectory) {
            m_watches.push_back(std::make_unique<PrefixWatch>(loop, m_settings, DIRECTORY_ROOT, m_counters,
                [this](const std::vector<WatchEvent> &events) { m_sink(messages::DirectoryChanged{m_directory.take(events)}); }));
        }
    }

    void post(const std::vector<WatchEvent> &events)
    {
        for (const WatchEvent &event : events) {
            m_sink(messages::PlatformWatched{event});
        }
    }

    PlatformSettings m_settings;
    messages::EventSink m_sink;
    CallCounters m_counters;
    CallQueue m_calls;
    DirectoryView m_directory;
    std::vector<std::unique_ptr<PrefixWatch>> m_watches;
};

PlatformClient::PlatformClient(net::EventLoop &loop, PlatformSettings settings, messages::EventSink sink)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), std::move(sink)))
{
}

PlatformClient::~PlatformClient()
{
    stop();
}

void PlatformClient::start()
{
    for (const std::unique_ptr<PrefixWatch> &watch : m_impl->m_watches) {
        watch->start();
    }
}

void PlatformClient::stop()
{
    for (const std::unique_ptr<PrefixWatch> &watch : m_impl->m_watches) {
        watch->stop();
    }
    m_impl->m_calls.stop();
}

void PlatformClient::call(Call call)
{
    m_impl->m_calls.add(std::move(call));
}

std::vector<CallCount> PlatformClient::callCounts() const
{
    return m_impl->m_counters.all();
}

} // namespace snipeferry::platform
