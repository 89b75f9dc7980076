#include "support/fakeplatform.h"

#include "snipeferry/core/timerservice.h"
#include "support/fakestore.h"
#include "support/gatewayjson.h"

#include <absl/time/clock.h>
#include <httplib.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace snipeferry::standins {

namespace {

using nlohmann::json;

constexpr std::size_t SERVER_THREADS = 160;
constexpr absl::Duration TIMER_STEP = absl::Milliseconds(20);
/** A quiet watch sends an empty message, so that its client sees the link alive. */
constexpr absl::Duration PROGRESS_INTERVAL = absl::Seconds(5);
constexpr const char *JSON_TYPE = "application/json";

} // namespace

class FakePlatform::Impl
{
public:
    Impl()
        : m_store(m_timers)
    {
        m_server.new_task_queue = [] {
            return new httplib::ThreadPool(SERVER_THREADS);
        };
        m_server.set_keep_alive_max_count(1'000'000);
        m_server.set_tcp_nodelay(true);
        addCall("/v3/kv/range", decodeRange, encodeRange);
        addCall("/v3/kv/put", decodePut, encodeWrite);
        addCall("/v3/kv/deleterange", decodeDeleteRange, encodeWrite);
        addCall("/v3/kv/txn", decodeTransaction, encodeTransaction);
        addCall("/v3/lease/grant", decodeLeaseGrant, encodeLeaseGrant);
        addCall("/v3/lease/keepalive", decodeLeaseKeepAlive, encodeLeaseKeepAlive);
        m_server.Post("/v3/lease/revoke", [this](const httplib::Request &request, httplib::Response &response) { revoke(request, response); });
        m_server.Post("/v3/watch", [this](const httplib::Request &request, httplib::Response &response) { watch(request, response); });
        m_server.Post("/faults", [this](const httplib::Request &request, httplib::Response &response) { change(request, response, &Impl::setFaults); });
        m_server.Post("/load", [this](const httplib::Request &request, httplib::Response &response) { change(request, response, &Impl::load); });
        m_server.Get("/counters", [this](const httplib::Request &, httplib::Response &response) { response.set_content(counters(), JSON_TYPE); });
    }

    int start(int port)
    {
        const bool isBound = port == 0 || m_server.bind_to_port("127.0.0.1", port);
        const int bound = port == 0 ? m_server.bind_to_any_port("127.0.0.1") : port;
        if (!isBound || bound <= 0) {
            return 0;
        }
        m_serving = std::thread([this] { m_server.listen_after_bind(); });
        m_timing = std::thread([this] { runTimers(); });
        // A stop before the server runs would be lost.
        while (!m_server.is_running()) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        return bound;
    }

    // May be called again.
    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_server.stop();
        wait();
        if (m_timing.joinable()) {
            m_timing.join();
        }
    }

    void wait()
    {
        if (m_serving.joinable()) {
            m_serving.join();
        }
    }

    void setFaults(const std::string &text)
    {
        const json faults = json::parse(text);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (faults.contains("down")) {
            m_store.setDown(faults["down"].get<bool>());
        }
        if (faults.contains("delay_ms")) {
            m_delay = absl::Milliseconds(faults["delay_ms"].get<int>());
        }
        if (faults.contains("lose_next")) {
            m_store.loseNextAnswers(faults["lose_next"].get<int>());
        }
        if (faults.contains("lose_probability")) {
            m_store.loseAnswers(faults["lose_probability"].get<double>(), faults.value("seed", std::uint64_t{1}));
        }
        if (faults.value("remember", false)) {
            m_store.rememberState();
        }
        if (faults.contains("stale_reads")) {
            m_store.setStaleReads(faults["stale_reads"].get<bool>());
        }
        m_changed.notify_all();
    }

    void load(const std::string &text)
    {
        const json keys = json::parse(text);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto &[key, value] : keys.items()) {
            if (value.is_null()) {
                m_store.remove(key);
            } else {
                m_store.put(key, value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        m_changed.notify_all();
    }

    std::string counters() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        json out = m_store.counters();
        out["watch"] = m_watches;
        return out.dump();
    }

private:
    // Watches are looped over by threads of the server; they end when the store goes down or the server stops.
    bool isWatchOver() const
    {
        return m_isStopping || m_store.isDown();
    }

    void runTimers()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_changed.wait_for(lock, absl::ToChronoNanoseconds(TIMER_STEP), [this] { return m_isStopping; })) {
            m_timers.run();
            m_changed.notify_all();
        }
    }

    template<typename Request>
    void addCall(const char *path, Request (*decode)(const json &), json (*encode)(const platform::Reply &))
    {
        m_server.Post(path, [this, decode, encode](const httplib::Request &request, httplib::Response &response) {
            platform::Call call;
            try {
                call.request = decode(json::parse(request.body));
            } catch (const std::exception &error) {
                response.status = 400;
                response.set_content(json({{"code", 3}, {"message", error.what()}}).dump(), JSON_TYPE);
                return;
            }
            answer(perform(call), encode, response);
        });
    }

    platform::Reply perform(const platform::Call &call)
    {
        absl::Duration delay;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            delay = m_delay;
        }
        absl::SleepFor(delay);
        const std::lock_guard<std::mutex> lock(m_mutex);
        platform::Reply reply = m_store.call(call);
        m_changed.notify_all();
        return reply;
    }

    static void answer(const platform::Reply &reply, json (*encode)(const platform::Reply &), httplib::Response &response)
    {
        if (reply.outcome == platform::Outcome::Answered) {
            response.set_content(encode(reply).dump(), JSON_TYPE);
        } else if (reply.outcome == platform::Outcome::NotSent) {
            response.status = 503;
            response.set_content(json({{"code", 14}, {"message", "unavailable"}}).dump(), JSON_TYPE);
        } else {
            // The connection breaks in the middle of the answer.
            response.set_content_provider(1, JSON_TYPE, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        }
    }

    void revoke(const httplib::Request &request, httplib::Response &response)
    {
        try {
            const std::int64_t lease = decodeLeaseKeepAlive(json::parse(request.body)).leaseId;
            const std::lock_guard<std::mutex> lock(m_mutex);
            response.status = m_store.revoke(lease) ? 200 : 404;
            m_changed.notify_all();
            response.set_content("{}", JSON_TYPE);
        } catch (const std::exception &) {
            response.status = 400;
        }
    }

    void watch(const httplib::Request &request, httplib::Response &response)
    {
        WatchRequest wanted;
        try {
            wanted = decodeWatch(json::parse(request.body));
        } catch (const std::exception &) {
            response.status = 400;
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_watches;
            if (isWatchOver()) {
                response.status = 503;
                return;
            }
        }
        // A start revision names the first change that is wanted.
        std::shared_ptr<std::int64_t> cursor = std::make_shared<std::int64_t>(wanted.startRevision - 1);
        response.set_chunked_content_provider(JSON_TYPE, [this, wanted, cursor](std::size_t, httplib::DataSink &sink) {
            const std::string line = nextWatchLine(wanted.prefix, *cursor);
            return !line.empty() && sink.write(line.data(), line.size());
        });
    }

    // Next message of a watch, or nothing when it is over.
    std::string nextWatchLine(const std::string &prefix, std::int64_t &cursor)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto isDue = [&] {
            return isWatchOver() || m_store.revision() > cursor;
        };
        const std::chrono::steady_clock::time_point progressDue = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(PROGRESS_INTERVAL);
        std::vector<platform::WatchEvent> events;
        while (events.empty() && m_changed.wait_until(lock, progressDue, isDue)) {
            if (isWatchOver()) {
                return {};
            }
            events = m_store.eventsSince(cursor, prefix);
            cursor = m_store.revision();
        }
        return encodeWatch(m_store.revision(), events).dump() + "\n";
    }

    void change(const httplib::Request &request, httplib::Response &response, void (Impl::*take)(const std::string &))
    {
        try {
            (this->*take)(request.body);
            response.set_content("{}", JSON_TYPE);
        } catch (const std::exception &error) {
            response.status = 400;
            response.set_content(error.what(), "text/plain");
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    core::SteadyTimerService m_timers;
    FakeStore m_store;
    std::int64_t m_watches = 0;
    absl::Duration m_delay;
    bool m_isStopping = false;
    httplib::Server m_server;
    std::thread m_serving;
    std::thread m_timing;
};

FakePlatform::FakePlatform()
    : m_impl(std::make_unique<Impl>())
{
}

FakePlatform::~FakePlatform()
{
    stop();
}

int FakePlatform::start(int port)
{
    return m_impl->start(port);
}

void FakePlatform::stop()
{
    m_impl->stop();
}

void FakePlatform::wait()
{
    m_impl->wait();
}

void FakePlatform::setFaults(const std::string &text)
{
    m_impl->setFaults(text);
}

void FakePlatform::load(const std::string &text)
{
    m_impl->load(text);
}

std::string FakePlatform::counters() const
{
    return m_impl->counters();
}

} // namespace snipeferry::standins
