#include "snipeferry/http/backendmonitor.h"

#include "snipeferry/net/httpcaller.h"

#include <algorithm>
#include <utility>

namespace snipeferry::http {

namespace {

constexpr int OK = 200;

} // namespace

/** One backend server, read again and again on a kept connection. */
class BackendMonitor::Watched : public std::enable_shared_from_this<BackendMonitor::Watched>
{
public:
    Watched(BackendMonitor &monitor, const platform::BackendServer &server)
        : m_loop(monitor.m_loop),
          m_settings(monitor.m_settings),
          m_format(*monitor.m_format),
          m_sink(monitor.m_sink),
          m_id(server.id),
          m_address(server.address),
          m_caller(std::make_shared<net::HttpCaller>(monitor.m_loop, server.address))
    {
    }

    const std::string &address() const
    {
        return m_address;
    }

    void start()
    {
        m_timer = m_loop.timers().every(m_settings.interval, [self = weak_from_this()] {
            if (const std::shared_ptr<Watched> watched = self.lock()) {
                watched->readLoad();
            }
        });
        readLoad();
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
        m_caller->close();
    }

private:
    void readLoad()
    {
        if (m_isBeingRead) {
            return;
        }
        m_isBeingRead = true;
        read(m_format.loadPath(), [this](const std::string &body) {
            const std::optional<messages::LoadReported> load = m_format.readLoad(m_id, body);
            if (!load.has_value()) {
                m_isBeingRead = false;
                return;
            }
            m_sink(*load);
            readCacheEvents();
        });
    }

    void readCacheEvents()
    {
        read(m_format.cacheEventsPath(m_lastSequence), [this](const std::string &body) {
            m_isBeingRead = false;
            for (const messages::CacheReported &event : m_format.readCacheEvents(m_id, body)) {
                m_lastSequence = std::max(m_lastSequence, event.sequence);
                m_sink(event);
            }
        });
    }

    /** Reads a page; a page that does not come whole in time is taken for an empty one. */
    void read(const std::string &path, std::function<void(const std::string &)> take)
    {
        m_caller->call(
            {"GET", path, {}, {}}, m_settings.timeout, [self = shared_from_this(), take = std::move(take)](const core::Expected<net::CallAnswer> &answer) {
                if (!self->m_isStopped) {
                    take(answer && answer->status == OK ? answer->body : std::string());
                }
            });
    }

    net::EventLoop &m_loop;
    const BackendMonitorSettings m_settings;
    const ReportFormat &m_format;
    const messages::EventSink m_sink;
    const core::BackendServerId m_id;
    const std::string m_address;
    std::shared_ptr<net::HttpCaller> m_caller;
    std::uint64_t m_lastSequence = 0;
    bool m_isBeingRead = false;
    bool m_isStopped = false;
    core::Subscription m_timer;
};

BackendMonitor::BackendMonitor(net::EventLoop &loop, BackendMonitorSettings settings, std::unique_ptr<ReportFormat> format, messages::EventSink sink)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_format(std::move(format)),
      m_sink(std::move(sink))
{
}

BackendMonitor::~BackendMonitor()
{
    stop();
}

void BackendMonitor::start()
{
    m_isRunning = true;
    for (const auto &entry : m_watched) {
        entry.second->start();
    }
}

void BackendMonitor::stop()
{
    m_isRunning = false;
    for (const auto &entry : m_watched) {
        entry.second->stop();
    }
    m_watched.clear();
}

void BackendMonitor::setServers(const std::vector<platform::BackendServer> &servers)
{
    std::map<core::BackendServerId, std::shared_ptr<Watched>> before = std::exchange(m_watched, {});
    for (const platform::BackendServer &server : servers) {
        if (server.dataCentre != m_settings.dataCentre) {
            continue;
        }
        const auto known = before.find(server.id);
        if (known != before.end() && known->second->address() == server.address) {
            m_watched[server.id] = known->second;
            before.erase(known);
            continue;
        }
        const std::shared_ptr<Watched> watched = std::make_shared<Watched>(*this, server);
        m_watched[server.id] = watched;
        if (m_isRunning) {
            watched->start();
        }
    }
    for (const auto &entry : before) {
        entry.second->stop();
    }
}

} // namespace snipeferry::http
