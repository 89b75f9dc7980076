#pragma once

#include "snipeferry/net/eventloop.h"
#include "snipeferry/platform/gatewaycodec.h"
#include "snipeferry/platform/platformclient.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace snipeferry::net {
class HttpCaller;
}

namespace snipeferry::platform {

/** Counters of calls by kind. */
class CallCounters
{
public:
    void countSent(const std::string &kind);
    void countFailed(const std::string &kind);
    std::vector<CallCount> all() const;

private:
    std::map<std::string, CallCount> m_counts;
};

/** How one POST ended. */
struct PostResult
{
    Outcome outcome = Outcome::Unknown;
    /** HTTP status of an answer. */
    int status = 0;
    std::string body;
};

/** Kept connections to the platform's endpoints, one of each; one POST at a time. */
class GatewayConnections : public std::enable_shared_from_this<GatewayConnections>
{
public:
    using Callback = std::function<void(const PostResult &)>;

    GatewayConnections(net::EventLoop &loop, const PlatformSettings &settings);
    ~GatewayConnections();

    /**
     * @brief Sends a request within a time; another endpoint is tried only while no byte can have left.
     * @param endpoint the endpoint to begin with; moved on when it fails
     */
    void post(const GatewayRequest &request, absl::Time deadline, std::size_t &endpoint, Callback callback);

    /** @brief Closes all connections; no callback comes after that. */
    void close();

private:
    void tryNext(const GatewayRequest &request, absl::Time deadline, std::size_t &endpoint, std::size_t attempt, Callback callback);

    net::EventLoop &m_loop;
    std::vector<std::shared_ptr<net::HttpCaller>> m_callers;
    bool m_isClosed = false;
};

/** Bounded queue of calls; each call gets exactly one reply within its timeout. */
class CallQueue
{
public:
    CallQueue(net::EventLoop &loop, const PlatformSettings &settings, messages::EventSink sink, CallCounters &counters);
    ~CallQueue();

    void add(Call call);
    void stop();

private:
    struct Waiting
    {
        Call call;
        absl::Time deadline;
        core::Subscription timer;
    };

    /** One call under way; the next one of the queue follows it. */
    struct Worker
    {
        std::shared_ptr<GatewayConnections> connections;
        bool isBusy = false;
    };

    void pump();
    void send(Worker &worker, const Call &call, absl::Time deadline);
    void expire(CallId id);
    void publish(const Call &call, Reply reply);

    net::EventLoop &m_loop;
    const PlatformSettings m_settings;
    const messages::EventSink m_sink;
    CallCounters &m_counters;
    std::vector<Worker> m_workers;
    std::deque<Waiting> m_queue;
    /** Endpoint that answered last. */
    std::size_t m_endpoint = 0;
    /** Ends with the queue; callbacks that come later find it gone. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace snipeferry::platform
