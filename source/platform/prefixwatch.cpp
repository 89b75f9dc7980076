#include "prefixwatch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipeferry::platform {

namespace {

constexpr absl::Duration FIRST_BACKOFF = absl::Milliseconds(100);
constexpr absl::Duration MAX_BACKOFF = absl::Seconds(2);
constexpr absl::Duration READ_TIMEOUT = absl::Seconds(5);
/** Connections to one endpoint: the one watch. */
constexpr int WATCH_CONNECTIONS = 2;
constexpr std::size_t MAX_LINE_BYTES = std::size_t{8} << 20;
constexpr int STATUS_OK = 200;

net::BackendPoolSettings streamSettings(const PlatformSettings &settings)
{
    net::BackendPoolSettings pool;
    pool.connectTimeout = settings.connectTimeout;
    pool.reusesConnections = false;
    pool.maxConnectionsPerServer = WATCH_CONNECTIONS;
    return pool;
}

} // namespace

std::vector<WatchEvent> WatchedKeys::takeRead(const Reply &read)
{
    std::vector<WatchEvent> events;
    if (read.storeRevision < m_revision) {
        return events;
    }
    std::set<std::string> present;
    for (const KeyValue &value : read.values) {
        present.insert(value.key);
        const WatchEvent event{value.key, value.value, value.modRevision};
        if (takeEvent(event)) {
            events.push_back(event);
        }
    }
    // A known key that a newer read does not hold was deleted during the gap.
    std::vector<std::string> deleted;
    for (const auto &[key, modRevision] : m_modRevisions) {
        if (present.count(key) == 0 && modRevision <= read.storeRevision) {
            deleted.push_back(key);
        }
    }
    for (const std::string &key : deleted) {
        m_modRevisions.erase(key);
        events.push_back({key, std::nullopt, read.storeRevision});
    }
    advance(read.storeRevision);
    return events;
}

bool WatchedKeys::takeEvent(const WatchEvent &event)
{
    const auto known = m_modRevisions.find(event.key);
    if (known != m_modRevisions.end() && known->second >= event.modRevision) {
        return false;
    }
    if (event.value.has_value()) {
        m_modRevisions[event.key] = event.modRevision;
    } else {
        m_modRevisions.erase(event.key);
    }
    return true;
}

std::int64_t WatchedKeys::revision() const
{
    return m_revision;
}

void WatchedKeys::advance(std::int64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

PrefixWatch::PrefixWatch(net::EventLoop &loop, const PlatformSettings &settings, std::string prefix, CallCounters &counters, Listener listener)
    : m_loop(loop),
      m_settings(settings),
      m_prefix(std::move(prefix)),
      m_counters(counters),
      m_listener(std::move(listener)),
      m_reads(std::make_shared<GatewayConnections>(loop, settings)),
      m_streams(loop, streamSettings(settings), [](const gateway::HttpHead & /*head*/) { return core::RequestId(); }),
      m_backoff(FIRST_BACKOFF)
{
    m_streams.setEvents(*this);
}

PrefixWatch::~PrefixWatch()
{
    stop();
}

void PrefixWatch::start()
{
    readAgain();
}

void PrefixWatch::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    m_reads->close();
    m_streams.cancel(std::exchange(m_run, 0));
}

void PrefixWatch::readAgain()
{
    m_counters.countSent("read");
    const Call call{0, Read{m_prefix, true}, READ_TIMEOUT};
    m_reads->post(encodeCall(call), m_loop.timers().now() + READ_TIMEOUT, m_endpoint, [this](const PostResult &result) {
        if (!m_isStopped) {
            readDone(result);
        }
    });
}

void PrefixWatch::readDone(const PostResult &result)
{
    const bool isAnswered = result.outcome == Outcome::Answered && result.status == STATUS_OK;
    const core::Expected<Reply> reply = isAnswered ? decodeReply(Call{0, Read{m_prefix, true}, READ_TIMEOUT}, result.body)
                                                   : tl::make_unexpected(core::makeError(core::ErrorKind::PlatformUnavailable, "no answer"));
    if (!reply.has_value()) {
        m_counters.countFailed("read");
        failed();
        return;
    }
    m_backoff = FIRST_BACKOFF;
    report(m_keys.takeRead(*reply));
    watch();
}

void PrefixWatch::watch()
{
    if (m_isStopped) {
        return;
    }
    m_counters.countSent("watch");
    m_pending.clear();
    m_run = ++m_lastRun;
    const GatewayRequest request = encodeWatch(m_prefix, m_keys.revision() + 1);
    gateway::BackendServer endpoint;
    endpoint.address = m_settings.endpoints[m_endpoint % m_settings.endpoints.size()];
    endpoint.id = core::BackendServerId(endpoint.address);
    awaitData();
    m_streams.start(
        m_run, endpoint, {"POST", request.path, {{"Content-Type", "application/json"}}, request.body}, core::RequestId(), false, absl::InfiniteFuture());
}

void PrefixWatch::awaitData()
{
    // A quiet watch is created again from where it stood, without a gap.
    m_timer = m_loop.timers().after(m_settings.watchTimeout, [this] {
        m_streams.cancel(m_run);
        watch();
    });
}

void PrefixWatch::failed()
{
    m_run = 0;
    ++m_endpoint;
    m_timer = m_loop.timers().after(m_backoff, [this] { readAgain(); });
    m_backoff = std::min(m_backoff * 2, MAX_BACKOFF);
}

void PrefixWatch::runHead(gateway::Number run, const gateway::HttpHead &head)
{
    if (run == m_run && head.status != STATUS_OK) {
        m_streams.cancel(run);
        runFailed(run, true, "status");
    }
}

void PrefixWatch::runData(gateway::Number run, const std::string &data)
{
    if (run != m_run) {
        return;
    }
    awaitData();
    m_pending += data;
    bool isIntact = true;
    for (std::size_t end = m_pending.find('\n'); end != std::string::npos && isIntact && run == m_run; end = m_pending.find('\n')) {
        isIntact = takeLine(m_pending.substr(0, end));
        m_pending.erase(0, end + 1);
    }
    if (run == m_run && (!isIntact || m_pending.size() > MAX_LINE_BYTES)) {
        m_streams.cancel(run);
        runFailed(run, true, "unreadable");
    }
}

void PrefixWatch::runEnd(gateway::Number run, gateway::AnswerEnd /*end*/)
{
    runFailed(run, true, "ended");
}

void PrefixWatch::runFailed(gateway::Number run, bool /*mayHaveRun*/, const std::string & /*reason*/)
{
    if (run == m_run && !m_isStopped) {
        m_counters.countFailed("watch");
        failed();
    }
}

bool PrefixWatch::takeLine(const std::string &line)
{
    if (line.empty()) {
        return true;
    }
    const core::Expected<WatchBatch> batch = decodeWatchLine(line);
    if (!batch.has_value() || batch->isCancelled) {
        return false;
    }
    std::vector<WatchEvent> events;
    for (const WatchEvent &event : batch->events) {
        if (m_keys.takeEvent(event)) {
            events.push_back(event);
        }
        m_keys.advance(event.modRevision);
    }
    report(events);
    return true;
}

void PrefixWatch::report(const std::vector<WatchEvent> &events)
{
    if (!events.empty() && !m_isStopped) {
        m_listener(events);
    }
}

} // namespace snipeferry::platform
