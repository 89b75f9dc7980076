#include "callqueue.h"

#include "snipeferry/net/httpcaller.h"

#include <algorithm>
#include <utility>

namespace snipeferry::platform {

namespace {

constexpr const char *CALL_KINDS[] = {"read", "transaction", "lease_grant", "lease_keepalive"};
constexpr int FIRST_SERVER_ERROR = 500;
constexpr int STATUS_OK = 200;

const char *kindOf(const Call &call)
{
    return CALL_KINDS[call.request.index()];
}

Reply emptyReply(CallId id, Outcome outcome)
{
    Reply reply;
    reply.id = id;
    reply.outcome = outcome;
    return reply;
}

/** What a finished POST says about its call. */
Reply replyOf(const Call &call, const PostResult &result)
{
    if (result.outcome != Outcome::Answered) {
        return emptyReply(call.id, result.outcome);
    }
    // A server error may come after the effect; any other error status is a refusal of the request itself.
    if (result.status != STATUS_OK) {
        return emptyReply(call.id, result.status >= FIRST_SERVER_ERROR ? Outcome::Unknown : Outcome::NotSent);
    }
    const core::Expected<Reply> reply = decodeReply(call, result.body);
    return reply.has_value() ? *reply : emptyReply(call.id, Outcome::Unknown);
}

PostResult resultOf(const core::Expected<net::CallAnswer> &answer)
{
    PostResult result;
    if (answer) {
        result.outcome = Outcome::Answered;
        result.status = answer->status;
        result.body = answer->body;
    } else {
        result.outcome = answer.error().ranState == core::RanState::NotRun ? Outcome::NotSent : Outcome::Unknown;
    }
    return result;
}

} // namespace

void CallCounters::countSent(const std::string &kind)
{
    ++m_counts[kind].sent;
}

void CallCounters::countFailed(const std::string &kind)
{
    ++m_counts[kind].failed;
}

std::vector<CallCount> CallCounters::all() const
{
    std::vector<CallCount> counts;
    counts.reserve(m_counts.size());
    for (const auto &[kind, count] : m_counts) {
        counts.push_back({kind, count.sent, count.failed});
    }
    return counts;
}

GatewayConnections::GatewayConnections(net::EventLoop &loop, const PlatformSettings &settings)
    : m_loop(loop)
{
    m_callers.reserve(settings.endpoints.size());
    for (const std::string &endpoint : settings.endpoints) {
        m_callers.push_back(std::make_shared<net::HttpCaller>(loop, endpoint, settings.connectTimeout));
    }
}

GatewayConnections::~GatewayConnections()
{
    close();
}

void GatewayConnections::close()
{
    m_isClosed = true;
    for (const std::shared_ptr<net::HttpCaller> &caller : m_callers) {
        caller->close();
    }
}

void GatewayConnections::post(const GatewayRequest &request, absl::Time deadline, std::size_t &endpoint, Callback callback)
{
    tryNext(request, deadline, endpoint, 0, std::move(callback));
}

void GatewayConnections::tryNext(const GatewayRequest &request, absl::Time deadline, std::size_t &endpoint, std::size_t attempt, Callback callback)
{
    const absl::Duration left = deadline - m_loop.timers().now();
    if (left <= absl::ZeroDuration() || attempt == m_callers.size()) {
        callback(PostResult{Outcome::NotSent, 0, {}});
        return;
    }
    const std::size_t chosen = endpoint % m_callers.size();
    const gateway::HttpRequest post{"POST", request.path, {{"Content-Type", "application/json"}}, request.body};
    m_callers[chosen]->call(post, left,
        [self = shared_from_this(), request, deadline, &endpoint, chosen, attempt, callback = std::move(callback)](
            const core::Expected<net::CallAnswer> &answer) {
            if (self->m_isClosed) {
                return;
            }
            const PostResult result = resultOf(answer);
            const bool isHealthy = result.outcome == Outcome::Answered && result.status < FIRST_SERVER_ERROR;
            if (!isHealthy) {
                endpoint = (chosen + 1) % self->m_callers.size();
            }
            if (result.outcome == Outcome::NotSent) {
                self->tryNext(request, deadline, endpoint, attempt + 1, callback);
            } else {
                callback(result);
            }
        });
}

CallQueue::CallQueue(net::EventLoop &loop, const PlatformSettings &settings, messages::EventSink sink, CallCounters &counters)
    : m_loop(loop),
      m_settings(settings),
      m_sink(std::move(sink)),
      m_counters(counters),
      m_workers(static_cast<std::size_t>(settings.workers))
{
    for (Worker &worker : m_workers) {
        worker.connections = std::make_shared<GatewayConnections>(loop, m_settings);
    }
}

CallQueue::~CallQueue()
{
    stop();
}

void CallQueue::stop()
{
    *m_isAlive = false;
    m_queue.clear();
    for (const Worker &worker : m_workers) {
        worker.connections->close();
    }
}

void CallQueue::add(Call call)
{
    if (!*m_isAlive) {
        return;
    }
    if (m_settings.endpoints.empty() || m_queue.size() >= m_settings.maxPendingCalls) {
        // Replies never come from within the call.
        m_loop.post([this, isAlive = m_isAlive, call = std::move(call)] {
            if (*isAlive) {
                publish(call, emptyReply(call.id, Outcome::NotSent));
            }
        });
        return;
    }
    Waiting waiting;
    waiting.deadline = m_loop.timers().now() + call.timeout;
    waiting.timer = m_loop.timers().after(call.timeout, [this, id = call.id] { expire(id); });
    waiting.call = std::move(call);
    m_queue.push_back(std::move(waiting));
    pump();
}

/** A call that waits in the queue at its deadline has not left. */
void CallQueue::expire(CallId id)
{
    const auto it = std::find_if(m_queue.begin(), m_queue.end(), [id](const Waiting &waiting) { return waiting.call.id == id; });
    if (it == m_queue.end()) {
        return;
    }
    const Call call = it->call;
    m_queue.erase(it);
    publish(call, emptyReply(call.id, Outcome::NotSent));
}

void CallQueue::pump()
{
    for (Worker &worker : m_workers) {
        if (worker.isBusy || m_queue.empty()) {
            continue;
        }
        const Waiting next = std::move(m_queue.front());
        m_queue.pop_front();
        send(worker, next.call, next.deadline);
    }
}

void CallQueue::send(Worker &worker, const Call &call, absl::Time deadline)
{
    worker.isBusy = true;
    m_counters.countSent(kindOf(call));
    worker.connections->post(encodeCall(call), deadline, m_endpoint, [this, isAlive = m_isAlive, &worker, call](const PostResult &result) {
        if (!*isAlive) {
            return;
        }
        worker.isBusy = false;
        publish(call, replyOf(call, result));
        if (*isAlive) {
            pump();
        }
    });
}

void CallQueue::publish(const Call &call, Reply reply)
{
    if (reply.outcome != Outcome::Answered) {
        m_counters.countFailed(kindOf(call));
    }
    m_sink(messages::PlatformReplied{std::move(reply)});
}

} // namespace snipeferry::platform
