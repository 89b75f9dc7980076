#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/**
 * Small stand-ins of the users' platform for the cases of this review: its store, its runners, callers, and the gateway as a separate process. They share no
 * code with the product. Each connection has a thread of its own; everything listens on loopback addresses.
 */
namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** Milliseconds since the start of this program. */
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/** Lines of what was sent, answered and run, written to a file. */
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/** Listens on a loopback address and hands each connection to a thread. */
class Listener
{
public:
    using Handler = std::function<void(Tcp::socket &)>;

    explicit Listener(Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::string address() const;
    /** Stops listening and ends all connections, as the end of a process does. */
    void stop();

private:
    void run();

    Handler m_handler;
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::string m_address;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/** The platform's store. */
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    std::string address() const;
    void stop();

    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    std::vector<std::string> keys(const std::string &prefix);

    /** A watch that has waited so long without an event is cut; 0: none is. */
    void setWatchCut(int ms);
    /** Items on one page of a range. */
    void setPageItems(std::size_t items);
    /** Age of what a read with allowStale returns, by the number of the page (0 for the first); without it all reads are of now. */
    void setStaleness(std::function<int(int page)> staleness);
    /** Time that each answer takes; a watch's from its event on. */
    void setAnswerMs(int ms);

    /** Is away: closes each connection on which a call comes, and all watches. */
    void leave();
    /** Comes back from a copy: what was written after it is gone, and the era rises by one. */
    void comeBackAsOf(std::int64_t copiedAtMs);

    std::atomic<int> watchesCut{0};
    std::atomic<int> staleReads{0};

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Change
    {
        std::string key;
        std::int64_t revision = 0;
        std::int64_t atMs = 0;
        std::optional<Item> item;
    };
    struct Lease
    {
        std::int64_t ttlMs = 0;
        std::int64_t openedMs = 0;
        std::int64_t endsMs = 0;
    };

    void serve(Tcp::socket &socket);
    /** false: the connection is cut without an answer. */
    bool answer(const Request &request, int &status, Json &body);
    bool isAway();
    std::int64_t era();
    bool watch(const std::map<std::string, std::string> &query, int &status, Json &body);
    /** Call with the lock held. */
    Json range(const std::map<std::string, std::string> &query);
    Json itemJson(const std::string &key, const Item &item) const;
    /** Call with the lock held. */
    void change(const std::string &key, std::optional<Item> item, std::int64_t revision);
    void expireLeases();
    void endLease(std::int64_t lease);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 0;
    int m_watchCutMs = 0;
    std::atomic<int> m_answerMs{4};
    bool m_isAway = false;
    std::int64_t m_era = 0;
    std::size_t m_pageItems = 500;
    std::function<int(int)> m_staleness;
    std::atomic<bool> m_isStopped{false};
    std::unique_ptr<Listener> m_listener;
    std::thread m_expiry;
};

/** One request as its runner saw it. */
struct RunSeen
{
    std::string attempt;
    std::int64_t atMs = 0;
    std::string expected;
};

/** A plain runner: works for some milliseconds and answers with a whole body. */
class Runner
{
public:
    Runner(std::string id, std::string service, std::string zone, int slots, int workMs);

    const std::string &id() const;
    std::string entry(const std::string &state) const;
    std::string address() const;
    std::vector<RunSeen> seen();
    /** Ends the process: what is in work is lost. */
    void end();
    int working() const;
    std::int64_t born() const;

private:
    void serve(Tcp::socket &socket);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    int m_workMs;
    std::int64_t m_born;
    std::atomic<int> m_working{0};
    std::mutex m_mutex;
    std::vector<RunSeen> m_seen;
    std::unique_ptr<Listener> m_listener;
};

/** How a call of a caller ended; status 0: no whole answer came. */
struct Answer
{
    int status = 0;
    std::string body;
    Headers headers;
    std::string header(const std::string &name) const;
};

/** One request on a new connection. */
Answer call(const std::string &address, const std::string &method, const std::string &target, const Headers &headers, const std::string &body, int timeoutMs);

/** Addresses of one gateway process. */
struct GatewayPlace
{
    std::string name;
    std::string zone;
    std::string region;
    std::string callers;
    std::string directory;
    std::string ready;
    std::string peers;
};

GatewayPlace freePlace(const std::string &name, const std::string &zone, const std::string &region);

/** The gateway, started by the command of the deploy file. */
class Gateway
{
public:
    Gateway(GatewayPlace place, std::string folder, const std::string &store, const std::map<std::string, std::string> &zones, const std::string &bounds = "");
    ~Gateway();

    const GatewayPlace &place() const;
    void start();
    void signal(int number);
    /** SIGTERM, then SIGKILL after the grace time. */
    void terminate();
    void kill();
    bool isRunning();
    bool isReady() const;
    bool awaitReady(int timeoutMs) const;
    std::int64_t startedMs() const;

private:
    void reap(int timeoutMs);

    GatewayPlace m_place;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
    std::int64_t m_startedMs = 0;
};

/** Whether the disruption is left out. */
bool isTroubleOff();

std::string newFolder();

} // namespace review
