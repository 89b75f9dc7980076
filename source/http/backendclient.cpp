#include "snipeferry/http/backendclient.h"

#include "snipeferry/http/httpmessage.h"
#include "snipeferry/net/backendpool.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipeferry::http {

namespace {

net::BackendPoolSettings poolSettings(const BackendClientSettings &settings)
{
    net::BackendPoolSettings pool;
    pool.connectTimeout = settings.connectTimeout;
    pool.reusesConnections = false;
    pool.maxConnectionsPerServer = static_cast<int>(settings.maxAttempts);
    return pool;
}

core::Headers passedOn(const core::Headers &headers)
{
    core::Headers result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result), [](const core::Header &header) { return !isConnectionHeader(header.name); });
    return result;
}

} // namespace

class BackendClient::Impl : private gateway::RunEvents
{
public:
    Impl(net::EventLoop &loop, BackendClientSettings settings, messages::EventSink sink)
        : m_loop(loop),
          m_settings(settings),
          m_sink(std::move(sink)),
          m_pool(loop, poolSettings(settings), [](const gateway::HttpHead & /*head*/) { return core::RequestId(); })
    {
        m_pool.setEvents(*this);
    }

    void dispatch(const messages::Dispatch &dispatch);
    void cancel(const messages::CancelDispatch &cancel);
    void stop();

    std::size_t openAttempts() const
    {
        return m_attempts.size();
    }

private:
    using Key = std::pair<core::RequestId, int>;

    /** One attempt while it is in progress. */
    struct Attempt
    {
        Key key;
        /** Longest silence of the backend server. */
        absl::Duration patience;
        core::Subscription timer;
    };

    void runHead(gateway::Number run, const gateway::HttpHead &head) override;
    void runData(gateway::Number run, const std::string &data) override;
    void runEnd(gateway::Number run, gateway::AnswerEnd end) override;
    void runFailed(gateway::Number run, bool mayHaveRun, const std::string &reason) override;

    void awaitMore(gateway::Number run, Attempt &attempt);
    Key remove(gateway::Number run);

    net::EventLoop &m_loop;
    const BackendClientSettings m_settings;
    const messages::EventSink m_sink;
    net::BackendPool m_pool;
    gateway::Number m_lastRun = 0;
    std::map<gateway::Number, Attempt> m_attempts;
    std::map<Key, gateway::Number> m_runs;
};

void BackendClient::Impl::dispatch(const messages::Dispatch &dispatch)
{
    if (m_attempts.size() >= m_settings.maxAttempts) {
        m_sink(messages::BackendFailure{dispatch.request, dispatch.attempt, false, "too many attempts at once"});
        return;
    }
    const gateway::Number run = ++m_lastRun;
    const Key key = {dispatch.request, dispatch.attempt};
    Attempt &attempt = m_attempts[run];
    attempt.key = key;
    attempt.patience = dispatch.isStream ? std::max(dispatch.firstByteTimeout, m_settings.silenceTimeout) : dispatch.firstByteTimeout;
    m_runs[key] = run;
    awaitMore(run, attempt);
    gateway::BackendServer server;
    server.id = dispatch.backendServer;
    server.address = dispatch.address;
    m_pool.start(run, server, {dispatch.method, dispatch.path, passedOn(dispatch.headers), dispatch.body}, dispatch.request, false, absl::InfiniteFuture());
}

void BackendClient::Impl::cancel(const messages::CancelDispatch &cancel)
{
    const auto it = m_runs.find({cancel.request, cancel.attempt});
    if (it != m_runs.end()) {
        const gateway::Number run = it->second;
        remove(run);
        m_pool.cancel(run);
    }
}

void BackendClient::Impl::stop()
{
    const std::map<Key, gateway::Number> runs = m_runs;
    for (const auto &entry : runs) {
        remove(entry.second);
        m_pool.cancel(entry.second);
    }
}

void BackendClient::Impl::awaitMore(gateway::Number run, Attempt &attempt)
{
    attempt.timer = m_loop.timers().after(attempt.patience, [this, run] {
        m_pool.cancel(run);
        runFailed(run, true, "silent");
    });
}

BackendClient::Impl::Key BackendClient::Impl::remove(gateway::Number run)
{
    const auto it = m_attempts.find(run);
    Key key = it->second.key;
    m_attempts.erase(it);
    m_runs.erase(key);
    return key;
}

void BackendClient::Impl::runHead(gateway::Number run, const gateway::HttpHead &head)
{
    const auto it = m_attempts.find(run);
    if (it != m_attempts.end()) {
        awaitMore(run, it->second);
        const Key key = it->second.key;
        m_sink(messages::BackendHead{key.first, key.second, head.status, passedOn(head.headers)});
    }
}

void BackendClient::Impl::runData(gateway::Number run, const std::string &data)
{
    const auto it = m_attempts.find(run);
    if (it != m_attempts.end()) {
        awaitMore(run, it->second);
        const Key key = it->second.key;
        m_sink(messages::BackendChunk{key.first, key.second, data});
    }
}

void BackendClient::Impl::runEnd(gateway::Number run, gateway::AnswerEnd /*end*/)
{
    if (m_attempts.count(run) > 0) {
        const Key key = remove(run);
        m_sink(messages::BackendEnd{key.first, key.second});
    }
}

void BackendClient::Impl::runFailed(gateway::Number run, bool mayHaveRun, const std::string &reason)
{
    if (m_attempts.count(run) > 0) {
        const Key key = remove(run);
        m_sink(messages::BackendFailure{key.first, key.second, mayHaveRun, reason});
    }
}

BackendClient::BackendClient(net::EventLoop &loop, BackendClientSettings settings, messages::EventSink sink)
    : m_impl(std::make_unique<Impl>(loop, settings, std::move(sink)))
{
}

BackendClient::~BackendClient()
{
    stop();
}

void BackendClient::dispatch(const messages::Dispatch &dispatch)
{
    m_impl->dispatch(dispatch);
}

void BackendClient::cancel(const messages::CancelDispatch &cancel)
{
    m_impl->cancel(cancel);
}

void BackendClient::stop()
{
    m_impl->stop();
}

std::size_t BackendClient::openAttempts() const
{
    return m_impl->openAttempts();
}

} // namespace snipeferry::http
