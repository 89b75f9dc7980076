#include "users/usersstore.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <stdexcept>

namespace snipeferry::standins {

namespace {

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int FORBIDDEN = 403;
constexpr int NOT_FOUND = 404;
constexpr int GONE = 410;
constexpr int CONDITION_FAILED = 412;
constexpr int TOO_MANY = 429;
constexpr int UNAVAILABLE = 503;

/** The page says about 500. */
constexpr std::size_t PAGE_ITEMS = 500;
constexpr std::size_t MAX_TRANSACTION_ENTRIES = 32;
constexpr std::size_t HISTORY_CHANGES = 20'000;
constexpr absl::Duration LONGEST_WATCH = absl::Seconds(30);
constexpr absl::Duration SHORTEST_LEASE = absl::Seconds(1);
constexpr absl::Duration LONGEST_LEASE = absl::Minutes(10);
/** "Seconds later" on the page. */
constexpr absl::Duration LATENESS = absl::Seconds(2);

std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        int code = 0;
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && absl::SimpleHexAtoi(text.substr(i + 1, 2), &code);
        plain += isEscape ? static_cast<char>(code) : text[i];
        i += isEscape ? 2 : 0;
    }
    return plain;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    const std::string text = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    for (const absl::string_view part : absl::StrSplit(text, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        query[pair.first] = unescape(pair.second);
    }
    return query;
}

std::int64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    std::int64_t number = 0;
    const auto it = query.find(name);
    if (it == query.end() || !absl::SimpleAtoi(it->second, &number)) {
        throw std::invalid_argument(absl::StrCat("no number ", name));
    }
    return number;
}

std::string textOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

} // namespace

const UsersStore::Entry UsersStore::ENTRIES[] = {
    {"GET", "/api/kv-key", &UsersStore::readKey},
    {"GET", "/api/kv-range", &UsersStore::readRange},
    {"POST", "/api/kv-txn", &UsersStore::transact},
    {"POST", "/api/kv-lease", &UsersStore::openLease},
    {"POST", "/api/kv-keep/", &UsersStore::renewLease},
    {"DELETE", "/api/kv-lease-end/", &UsersStore::endLease},
};

UsersStore::UsersStore(net::EventLoop &loop)
    : m_loop(loop)
{
}

UsersStore::~UsersStore() = default;

std::string UsersStore::listen(const std::string &reader, const std::string &address)
{
    const auto handler = [this, reader, alive = std::weak_ptr<bool>(m_alive)](const gateway::HttpRequest &request, const Exchange &exchange) {
        if (!alive.expired()) {
            take(reader, request, exchange);
        }
    };
    m_servers.push_back(std::make_unique<net::HttpServer>(m_loop, handler));
    const core::Expected<int> port = m_servers.back()->listen(address);
    if (!port) {
        throw std::runtime_error(port.error().message);
    }
    return absl::StrCat(address.substr(0, address.find(':')), ":", *port);
}

std::int64_t UsersStore::put(const std::string &key, const std::string &value)
{
    Item item;
    item.value = value;
    ++m_revision;
    change(key, item);
    wakeWatches();
    return m_revision;
}

std::int64_t UsersStore::remove(const std::string &key)
{
    ++m_revision;
    change(key, std::nullopt);
    wakeWatches();
    return m_revision;
}

std::optional<std::string> UsersStore::value(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::nullopt : std::optional<std::string>(it->second.value);
}

std::vector<std::string> UsersStore::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &entry : m_items) {
        if (absl::StartsWith(entry.first, prefix)) {
            found.push_back(entry.first);
        }
    }
    return found;
}

void UsersStore::setView(View view)
{
    m_view = std::move(view);
}

void UsersStore::fail(const std::string &pathPrefix, StoreFault fault, int times)
{
    m_faults.push_back({pathPrefix, fault, times});
}

void UsersStore::clearFaults()
{
    m_faults.clear();
}

void UsersStore::setTurnedAway(const std::string &reader, bool isTurnedAway)
{
    if (isTurnedAway) {
        m_turnedAway.insert(reader);
    } else {
        m_turnedAway.erase(reader);
    }
}

void UsersStore::forgetHistory()
{
    m_history.clear();
    m_discarded = m_revision;
}

void UsersStore::take(const std::string &reader, const gateway::HttpRequest &request, const Exchange &exchange)
{
    Call call;
    call.reader = reader;
    call.method = request.method;
    call.path = request.target.substr(0, request.target.find('?'));
    call.query = queryOf(request.target);
    call.body = Json::parse(request.body, nullptr, false);
    if (m_turnedAway.count(reader) > 0) {
        reply(exchange, {UNAVAILABLE, Json::object()});
        return;
    }
    if (carryOutFault(call, exchange)) {
        return;
    }
    if (call.path == "/api/kv-watch") {
        watch(call, exchange);
        return;
    }
    reply(exchange, carryOut(call));
}

bool UsersStore::carryOutFault(const Call &call, const Exchange &exchange)
{
    const std::optional<StoreFault> fault = takeFault(call.path);
    if (!fault.has_value()) {
        return false;
    }
    switch (*fault) {
    case StoreFault::Silent:
        m_unanswered.push_back(exchange);
        break;
    case StoreFault::Unavailable:
        reply(exchange, {UNAVAILABLE, Json::object()});
        break;
    case StoreFault::TooMany:
        reply(exchange, {TOO_MANY, Json::object()});
        break;
    case StoreFault::HistoryGone:
        reply(exchange, {GONE, Json::object()});
        break;
    case StoreFault::NotJson:
        exchange->answer({OK, {}}, "\xff{not an answer");
        break;
    case StoreFault::OtherTypes:
        reply(exchange, {OK, {{"items", "none"}, {"events", 7}, {"asOf", "yesterday"}, {"lease", nullptr}, {"ttlMs", "long"}, {"rev", {}}}});
        break;
    case StoreFault::AnswerLost:
        carryOut(call);
        m_unanswered.push_back(exchange);
        break;
    case StoreFault::CarriedOutLate:
        m_late.push_back(m_loop.timers().after(LATENESS, [this, call] { carryOut(call); }));
        m_unanswered.push_back(exchange);
        break;
    case StoreFault::Closed:
        exchange->breakOff();
        break;
    }
    return true;
}

std::optional<StoreFault> UsersStore::takeFault(const std::string &path)
{
    for (Fault &fault : m_faults) {
        if (fault.left != 0 && absl::StartsWith(path, fault.pathPrefix)) {
            fault.left -= fault.left > 0 ? 1 : 0;
            return fault.kind;
        }
    }
    return std::nullopt;
}

UsersStore::Answer UsersStore::carryOut(const Call &call)
{
    try {
        for (const Entry &entry : ENTRIES) {
            const bool isPrefix = absl::EndsWith(entry.pathPrefix, "/");
            if (call.method == entry.method && (isPrefix ? absl::StartsWith(call.path, entry.pathPrefix) : call.path == entry.pathPrefix)) {
                return (this->*entry.handler)(call);
            }
        }
    } catch (const std::exception &error) {
        return {BAD_REQUEST, {{"error", error.what()}}};
    }
    return {NOT_FOUND, Json::object()};
}

void UsersStore::watch(const Call &call, const Exchange &exchange)
{
    Answer answer;
    absl::Duration wait;
    try {
        answer = changesFor(call);
        wait = std::min(absl::Milliseconds(numberOf(call.query, "waitMs")), LONGEST_WATCH);
    } catch (const std::exception &error) {
        answer = {BAD_REQUEST, {{"error", error.what()}}};
    }
    if (answer.status != OK || !answer.body.at("events").empty()) {
        reply(exchange, answer);
        return;
    }
    m_watches.push_back({call, exchange, {}});
    const auto place = std::prev(m_watches.end());
    exchange->onClosed([this, exchange = exchange.get(), alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            m_watches.remove_if([exchange](const Watch &waiting) { return waiting.exchange.get() == exchange; });
        }
    });
    place->timer = m_loop.timers().after(wait, [this, place] {
        const Watch ended = std::move(*place);
        m_watches.erase(place);
        reply(ended.exchange, changesFor(ended.call));
    });
}

UsersStore::Answer UsersStore::changesFor(const Call &call) const
{
    const std::int64_t after = numberOf(call.query, "after");
    if (after < m_discarded) {
        return {GONE, Json::object()};
    }
    Json events = Json::array();
    for (const Change &change : m_history) {
        if (change.revision <= after || !absl::StartsWith(change.key, textOf(call.query, "prefix"))) {
            continue;
        }
        if (change.item.has_value()) {
            events.push_back(itemOf(call.reader, change.key, *change.item));
        } else {
            events.push_back({{"key", change.key}, {"rev", change.revision}, {"tombstone", true}});
        }
    }
    return {OK, {{"events", events}, {"asOf", m_revision}}};
}

void UsersStore::wakeWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const Answer answer = changesFor(it->call);
        if (answer.status == OK && answer.body.at("events").empty()) {
            ++it;
            continue;
        }
        const Exchange exchange = it->exchange;
        it = m_watches.erase(it);
        reply(exchange, answer);
    }
}

UsersStore::Answer UsersStore::readKey(const Call &call)
{
    const std::string key = textOf(call.query, "key");
    const auto it = m_items.find(key);
    if (it == m_items.end()) {
        return {NOT_FOUND, {{"asOf", m_revision}}};
    }
    Json fields = itemOf(call.reader, key, it->second);
    fields["asOf"] = m_revision;
    return {OK, fields};
}

UsersStore::Answer UsersStore::readRange(const Call &call)
{
    const std::string prefix = textOf(call.query, "prefix");
    const std::string after = textOf(call.query, "after");
    Json items = Json::array();
    bool hasMore = false;
    for (const auto &entry : m_items) {
        if (!absl::StartsWith(entry.first, prefix) || entry.first <= after) {
            continue;
        }
        if (items.size() == PAGE_ITEMS) {
            hasMore = true;
            break;
        }
        items.push_back(itemOf(call.reader, entry.first, entry.second));
    }
    return {OK, {{"items", items}, {"morePages", hasMore}, {"asOf", m_revision}}};
}

UsersStore::Answer UsersStore::transact(const Call &call)
{
    const Json &conditions = call.body.at("expectRev");
    const Json &puts = call.body.at("puts");
    const Json &removed = call.body.at("remove");
    if (conditions.size() + puts.size() + removed.size() > MAX_TRANSACTION_ENTRIES) {
        return {BAD_REQUEST, Json::object()};
    }

    // All or nothing: first what forbids it.
    bool isMet = true;
    Json current = Json::array();
    for (const Json &condition : conditions) {
        const std::string key = condition.at("key").get<std::string>();
        const auto it = m_items.find(key);
        isMet = isMet && (it == m_items.end() ? 0 : it->second.revision) == condition.at("rev").get<std::int64_t>();
        if (it != m_items.end()) {
            current.push_back(itemOf(call.reader, key, it->second));
        }
    }
    if (!isMet) {
        return {CONDITION_FAILED, {{"items", current}}};
    }
    for (const Json &put : puts) {
        const std::string key = put.at("key").get<std::string>();
        if (absl::StartsWith(key, "op/") || absl::StartsWith(key, "servers/")) {
            return {FORBIDDEN, Json::object()};
        }
        const std::int64_t lease = put.value("lease", std::int64_t{0});
        if (lease != 0 && m_leases.count(lease) == 0) {
            return {NOT_FOUND, Json::object()};
        }
    }

    // Then all of it under one revision.
    ++m_revision;
    for (const Json &put : puts) {
        Item item;
        if (!absl::Base64Unescape(put.at("value").get<std::string>(), &item.value)) {
            throw std::invalid_argument("a value that is not base64");
        }
        item.lease = put.value("lease", std::int64_t{0});
        change(put.at("key").get<std::string>(), item);
    }
    for (const Json &key : removed) {
        change(key.get<std::string>(), std::nullopt);
    }
    wakeWatches();
    return {OK, {{"rev", m_revision}}};
}

UsersStore::Answer UsersStore::openLease(const Call &call)
{
    const absl::Duration time = std::clamp(absl::Milliseconds(call.body.at("ttlMs").get<std::int64_t>()), SHORTEST_LEASE, LONGEST_LEASE);
    const std::int64_t lease = ++m_lastLease;
    m_leaseTimes[lease] = time;
    expire(lease, time);
    return {OK, {{"lease", lease}, {"ttlMs", absl::ToInt64Milliseconds(time)}}};
}

UsersStore::Answer UsersStore::renewLease(const Call &call)
{
    const std::int64_t lease = leaseOf(call.path);
    if (m_leases.count(lease) == 0) {
        return {NOT_FOUND, Json::object()};
    }
    expire(lease, m_leaseTimes[lease]);
    return {OK, {{"ttlMs", absl::ToInt64Milliseconds(m_leaseTimes[lease])}}};
}

UsersStore::Answer UsersStore::endLease(const Call &call)
{
    const std::int64_t lease = leaseOf(call.path);
    if (m_leases.count(lease) == 0) {
        return {NOT_FOUND, Json::object()};
    }
    dropLease(lease);
    return {OK, Json::object()};
}

void UsersStore::expire(std::int64_t lease, absl::Duration after)
{
    m_leases[lease] = m_loop.timers().after(after, [this, lease] { dropLease(lease); });
}

void UsersStore::dropLease(std::int64_t lease)
{
    // The timer that ends the lease may be the one that runs.
    const core::Subscription ended = std::move(m_leases[lease]);
    m_leases.erase(lease);
    m_leaseTimes.erase(lease);
    std::vector<std::string> held;
    for (const auto &entry : m_items) {
        if (entry.second.lease == lease) {
            held.push_back(entry.first);
        }
    }
    if (held.empty()) {
        return;
    }
    ++m_revision;
    for (const std::string &key : held) {
        change(key, std::nullopt);
    }
    wakeWatches();
}

void UsersStore::change(const std::string &key, std::optional<Item> item)
{
    const auto it = m_items.find(key);
    if (item.has_value()) {
        item->revision = m_revision;
        item->createRevision = it == m_items.end() ? m_revision : it->second.createRevision;
        m_items[key] = *item;
    } else if (it != m_items.end()) {
        m_items.erase(it);
    }
    m_history.push_back({key, m_revision, std::move(item)});
    if (m_history.size() > HISTORY_CHANGES) {
        m_discarded = m_history.front().revision;
        m_history.pop_front();
    }
}

nlohmann::json UsersStore::itemOf(const std::string &reader, const std::string &key, const Item &item) const
{
    const std::string value = m_view ? m_view(reader, key, item.value) : item.value;
    return {{"key", key}, {"value", absl::Base64Escape(value)}, {"rev", item.revision}, {"createRevision", item.createRevision}, {"lease", item.lease}};
}

std::int64_t UsersStore::leaseOf(const std::string &path)
{
    std::int64_t lease = 0;
    if (!absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &lease)) {
        throw std::invalid_argument("no lease");
    }
    return lease;
}

void UsersStore::reply(const Exchange &exchange, const Answer &answer)
{
    exchange->answer({answer.status, {{"Content-Type", "application/json"}}}, answer.body.dump());
}

} // namespace snipeferry::standins
