#pragma once

#include "snipeferry/net/httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * Stand-ins of the users' platform: its store, its runners and its operator, as its pages describe them. Everything runs
 * on the loop of its owner. The names of the platform are spelled here as they are on the wire; the product knows none.
 */
namespace snipeferry::standins {

/** How the store answers a call otherwise than it should. */
enum class StoreFault {
    /** Nothing is done, and no answer comes. */
    Silent,
    /** Nothing is done: 503. */
    Unavailable,
    /** Nothing is done: 429. */
    TooMany,
    /** 410, as if the history were discarded. */
    HistoryGone,
    /** Bytes that are no answer of the store. */
    NotJson,
    /** JSON with fields of other types. */
    OtherTypes,
    /** The call is carried out, and its answer is lost. */
    AnswerLost,
    /** The call is carried out seconds later, if its condition still holds, and never answered. */
    CarriedOutLate,
    /** The channel is closed without an answer. */
    Closed,
};

/** The platform's metadata store. */
class UsersStore
{
public:
    /** What a reader gets to see of a value. */
    using View = std::function<std::string(const std::string &reader, const std::string &key, const std::string &value)>;

    explicit UsersStore(net::EventLoop &loop);
    ~UsersStore();
    UsersStore(const UsersStore &) = delete;
    UsersStore &operator=(const UsersStore &) = delete;

    /** @brief Listens for one reader. @return its address */
    std::string listen(const std::string &reader, const std::string &address = "127.0.0.1:0");

    /** @brief Writes as the operator or a runner does. @return the revision */
    std::int64_t put(const std::string &key, const std::string &value);
    std::int64_t remove(const std::string &key);
    std::optional<std::string> value(const std::string &key) const;
    std::vector<std::string> keys(const std::string &prefix) const;

    void setView(View view);

    /** @brief Answers the next calls whose path begins so with a fault; a negative count means until it is cleared. */
    void fail(const std::string &pathPrefix, StoreFault fault, int times);
    void clearFaults();

    /** @brief Turns one reader away with 503, or serves it again. */
    void setTurnedAway(const std::string &reader, bool isTurnedAway);

    /** @brief Discards the history, as the store may at any time. */
    void forgetHistory();

private:
    using Json = nlohmann::json;
    using Exchange = std::shared_ptr<net::HttpExchange>;

    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t createRevision = 0;
        std::int64_t lease = 0;
    };

    /** One change in the history; without a value the key was removed. */
    struct Change
    {
        std::string key;
        std::int64_t revision = 0;
        std::optional<Item> item;
    };

    struct Call
    {
        std::string reader;
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        Json body;
    };

    struct Answer
    {
        int status = 200;
        Json body = Json::object();
    };

    struct Watch
    {
        Call call;
        Exchange exchange;
        core::Subscription timer;
    };

    struct Fault
    {
        std::string pathPrefix;
        StoreFault kind = StoreFault::Silent;
        int left = 0;
    };

    using Handler = Answer (UsersStore::*)(const Call &);
    struct Entry
    {
        const char *method;
        const char *pathPrefix;
        Handler handler;
    };

    void take(const std::string &reader, const gateway::HttpRequest &request, const Exchange &exchange);
    bool carryOutFault(const Call &call, const Exchange &exchange);
    std::optional<StoreFault> takeFault(const std::string &path);
    Answer carryOut(const Call &call);
    void watch(const Call &call, const Exchange &exchange);
    Answer changesFor(const Call &call) const;
    void wakeWatches();

    Answer readKey(const Call &call);
    Answer readRange(const Call &call);
    Answer transact(const Call &call);
    Answer openLease(const Call &call);
    Answer renewLease(const Call &call);
    Answer endLease(const Call &call);

    void expire(std::int64_t lease, absl::Duration after);
    void dropLease(std::int64_t lease);
    void change(const std::string &key, std::optional<Item> item);
    Json itemOf(const std::string &reader, const std::string &key, const Item &item) const;
    static std::int64_t leaseOf(const std::string &path);
    static void reply(const Exchange &exchange, const Answer &answer);

    static const Entry ENTRIES[];

    net::EventLoop &m_loop;
    /** Connections outlive their server for a while; what they tell goes nowhere once this is gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<std::unique_ptr<net::HttpServer>> m_servers;
    View m_view;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_history;
    /** Changes up to this revision are no longer in the history. */
    std::int64_t m_discarded = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::int64_t, core::Subscription> m_leases;
    std::map<std::int64_t, absl::Duration> m_leaseTimes;
    std::list<Watch> m_watches;
    std::vector<Fault> m_faults;
    std::set<std::string> m_turnedAway;
    /** Exchanges that never get an answer. */
    std::vector<Exchange> m_unanswered;
    std::vector<core::Subscription> m_late;
};

} // namespace snipeferry::standins
