#pragma once

#include "snipeferry/messages/eventsink.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/platform/directory.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/**
 * Load reports and cache events of backend servers.
 */
namespace snipeferry::http {

struct BackendMonitorSettings
{
    core::DataCentreId dataCentre;
    /** Time between two readings of one backend server. */
    absl::Duration interval = absl::Milliseconds(500);
    absl::Duration timeout = absl::Seconds(1);
};

/** What one kind of backend server tells about itself; the dialect of another engine is another strategy. */
class ReportFormat
{
public:
    virtual ~ReportFormat() = default;

    virtual std::string loadPath() const = 0;

    /** @brief Reads the load, or nothing when the backend server does not tell. */
    virtual std::optional<messages::LoadReported> readLoad(const core::BackendServerId &server, const std::string &body) const = 0;

    /** @brief Where cache events after a sequence number are. */
    virtual std::string cacheEventsPath(std::uint64_t after) const = 0;

    /** @brief Reads cache events, oldest first. */
    virtual std::vector<messages::CacheReported> readCacheEvents(const core::BackendServerId &server, const std::string &body) const = 0;
};

/** @brief The stand-ins' dialect: GET /load and GET /cache-events?after=N. */
std::unique_ptr<ReportFormat> makeJsonReports();

/** Polls the backend servers of this data centre and posts LoadReported and CacheReported. */
class BackendMonitor
{
public:
    BackendMonitor(net::EventLoop &loop, BackendMonitorSettings settings, std::unique_ptr<ReportFormat> format, messages::EventSink sink);
    ~BackendMonitor();

    void start();
    void stop();

    /** @brief Replaces the list of backend servers; those of other data centres are left out. */
    void setServers(const std::vector<platform::BackendServer> &servers);

private:
    class Watched;

    net::EventLoop &m_loop;
    const BackendMonitorSettings m_settings;
    const std::unique_ptr<ReportFormat> m_format;
    const messages::EventSink m_sink;
    bool m_isRunning = false;
    std::map<core::BackendServerId, std::shared_ptr<Watched>> m_watched;
};

} // namespace snipeferry::http
