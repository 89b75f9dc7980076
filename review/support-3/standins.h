#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/**
 * Small stand-ins for the cases of the third review: the platform's store, runners that answer with whatever bytes a case wants, clients, and the
 * project's own gateway as a separate process. Each connection has a thread of its own. All addresses are loopback addresses.
 */
namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Writes what was sent, answered and run, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file),
          m_start(nowMs())
    {
    }

    void note(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << nowMs() - m_start << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start;
};

inline bool equalsIgnoreCase(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &header : headers) {
        if (equalsIgnoreCase(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Closes a connection with a reset, as the end of a process with unread bytes does. */
inline void resetConnection(int fd)
{
    const linger option{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(fd);
}

/** Reads HTTP messages from one connection. */
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /** Reads more bytes; false at the end, on failure or after the time. */
    bool more(std::int64_t untilMs)
    {
        const std::int64_t left = untilMs - nowMs();
        pollfd state{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_wasReset = count < 0;
            m_hasEnded = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /** Reads a head: the first line and the headers. */
    bool head(std::string &line, Headers &headers, std::int64_t untilMs)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(untilMs)) {
                return false;
            }
        }
        std::istringstream text(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::getline(text, line);
        trim(line);
        headers.clear();
        std::string header;
        while (std::getline(text, header)) {
            trim(header);
            const std::size_t colon = header.find(':');
            if (colon != std::string::npos) {
                std::string value = header.substr(colon + 1);
                value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
                headers.emplace_back(header.substr(0, colon), value);
            }
        }
        return true;
    }

    /** Reads a body by its headers; false if it is not whole. @param untilClose whether a body without a length ends with the connection */
    bool body(const Headers &headers, std::string &body, bool untilClose, std::int64_t untilMs)
    {
        if (equalsIgnoreCase(headerOf(headers, "Transfer-Encoding"), "chunked")) {
            return chunks(body, untilMs);
        }
        const std::string length = headerOf(headers, "Content-Length");
        if (!length.empty()) {
            const std::size_t size = std::stoul(length);
            while (m_buffer.size() < size) {
                if (!more(untilMs)) {
                    body = m_buffer;
                    return false;
                }
            }
            body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return true;
        }
        if (!untilClose) {
            return true;
        }
        while (more(untilMs)) { }
        body = std::exchange(m_buffer, {});
        return m_hasEnded && !m_wasReset;
    }

    bool hasEnded() const
    {
        return m_hasEnded;
    }

    const std::string &rest() const
    {
        return m_buffer;
    }

private:
    static void trim(std::string &text)
    {
        while (!text.empty() && (text.back() == '\r' || text.back() == '\n')) {
            text.pop_back();
        }
    }

    bool chunks(std::string &body, std::int64_t untilMs)
    {
        while (true) {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(untilMs)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more(untilMs)) {
                    return false;
                }
            }
            body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_hasEnded = false;
    bool m_wasReset = false;
};

/** Listens on a free port of 127.0.0.1 and gives each connection to a thread. */
class Listener
{
public:
    explicit Listener(std::function<void(int)> serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        std::thread([this] {
            while (true) {
                const int fd = ::accept(m_fd, nullptr, nullptr);
                if (fd < 0) {
                    return;
                }
                const int one = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, fd] { m_serve(fd); }).detach();
            }
        }).detach();
    }

    const std::string &address() const
    {
        return m_address;
    }

private:
    std::function<void(int)> m_serve;
    int m_fd = -1;
    std::string m_address;
};

/** An address below the kernel's range for outgoing connections, so that a process that is started again finds its own free. */
inline std::string freeAddress()
{
    static std::set<int> given;
    static unsigned seed = static_cast<unsigned>(::getpid()) * 7919U + static_cast<unsigned>(nowMs());
    while (true) {
        const int port = 10000 + static_cast<int>(::rand_r(&seed) % 20000U);
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree && given.insert(port).second) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

inline int connectTo(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline std::string base64(const std::string &bytes)
{
    static const char *SIGNS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? SIGNS[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char sign : text) {
        const int value = sign >= 'A' && sign <= 'Z' ? sign - 'A'
            : sign >= 'a' && sign <= 'z'             ? sign - 'a' + 26
            : sign >= '0' && sign <= '9'             ? sign - '0' + 52
            : sign == '+'                            ? 62
            : sign == '/'                            ? 63
                                                     : -1;
        if (value < 0) {
            continue;
        }
        group = (group << 6U | static_cast<std::uint32_t>(value)) & 0xffffffU;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

inline std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}

/** The platform's store, as far as the gateway calls it. */
class Store
{
public:
    Store()
        : m_listener([this](int fd) { serve(fd, ""); })
    {
        std::thread([this] {
            while (true) {
                sleepMs(50);
                expireLeases();
            }
        }).detach();
    }

    const std::string &address() const
    {
        return m_listener.address();
    }

    /** An address for one reader alone, so that its calls can be told from those of others. */
    std::string addressFor(const std::string &reader)
    {
        m_readers.push_back(std::make_unique<Listener>([this, reader](int fd) { serve(fd, reader); }));
        return m_readers.back()->address();
    }

    /** The reader that has begun a watch of this prefix last; empty if there was none since the time. */
    std::string watcherOf(const std::string &prefix, std::int64_t sinceMs)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_watchers.find(prefix);
        return it == m_watchers.end() || it->second.second < sinceMs ? std::string() : it->second.first;
    }

    std::int64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(key, value, 0);
        m_changed.notify_all();
        return m_revision;
    }

    std::int64_t remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase(key);
        m_changed.notify_all();
        return m_revision;
    }

    std::optional<std::string> value(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional<std::string>(it->second.value);
    }

    std::vector<std::string> keys(const std::string &prefix)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::string> found;
        for (const auto &item : m_items) {
            if (item.first.compare(0, prefix.size(), prefix) == 0) {
                found.push_back(item.first);
            }
        }
        return found;
    }

    /** Keeps a copy of what the store holds. */
    void copy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copy = Copy{m_items, m_history, m_revision};
    }

    /** While away, no call is answered and waiting ones end. */
    void setAway(bool isAway)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isAway = isAway;
        m_changed.notify_all();
    }

    /** Comes back from the copy: what was written since is gone, leases too, and the era rises. */
    void restore()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items = m_copy.items;
        m_history = m_copy.history;
        m_revision = m_copy.revision;
        m_leases.clear();
        for (auto it = m_items.begin(); it != m_items.end();) {
            it = it->second.lease != 0 ? m_items.erase(it) : std::next(it);
        }
        ++m_era;
        m_isAway = false;
        m_changed.notify_all();
    }

    void nameEra()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_era = 1;
    }

    /** Called for each transaction before it is carried out: false drops it without an answer. */
    std::function<bool(const Json &)> onTransaction;

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t createRevision = 0;
        std::int64_t lease = 0;
    };
    struct Change
    {
        std::int64_t revision;
        std::string key;
        std::optional<Item> item;
    };
    struct Copy
    {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::int64_t revision = 1;
    };
    struct Lease
    {
        std::int64_t ttlMs;
        std::int64_t endsAt;
    };

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        ++m_revision;
        Item &item = m_items[key];
        item.value = value;
        item.revision = m_revision;
        item.createRevision = item.createRevision == 0 ? m_revision : item.createRevision;
        item.lease = lease;
        m_history.push_back({m_revision, key, item});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            ++m_revision;
            m_history.push_back({m_revision, key, std::nullopt});
        }
    }

    void endLease(std::int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> gone;
        for (const auto &item : m_items) {
            if (item.second.lease == lease) {
                gone.push_back(item.first);
            }
        }
        for (const std::string &key : gone) {
            erase(key);
        }
        m_changed.notify_all();
    }

    void expireLeases()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::int64_t> over;
        for (const auto &lease : m_leases) {
            if (lease.second.endsAt < nowMs()) {
                over.push_back(lease.first);
            }
        }
        for (const std::int64_t lease : over) {
            endLease(lease);
        }
    }

    static Json itemJson(const std::string &key, const Item &item)
    {
        return {{"key", key}, {"value", base64(item.value)}, {"rev", item.revision}, {"createRevision", item.createRevision}, {"lease", item.lease}};
    }

    void serve(int fd, const std::string &name)
    {
        Reader reader(fd);
        std::string line;
        Headers headers;
        while (reader.head(line, headers, nowMs() + 3600000)) {
            std::string body;
            if (!reader.body(headers, body, false, nowMs() + 5000)) {
                break;
            }
            std::istringstream words(line);
            std::string method;
            std::string target;
            words >> method >> target;
            std::map<std::string, std::string> query;
            const std::size_t mark = target.find('?');
            if (mark != std::string::npos) {
                std::istringstream pairs(target.substr(mark + 1));
                std::string pair;
                while (std::getline(pairs, pair, '&')) {
                    const std::size_t equals = pair.find('=');
                    query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
                }
                target = target.substr(0, mark);
            }
            int status = 200;
            Json answer = Json::object();
            if (!carryOut(name, method, target, query, body, status, answer)) {
                break;
            }
            const std::string text = answer.dump();
            std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size());
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (m_era > 0) {
                    head += "\r\nStore-Era: " + std::to_string(m_era);
                }
            }
            if (!sendAll(fd, head + "\r\n\r\n" + text)) {
                break;
            }
        }
        ::close(fd);
    }

    bool carryOut(const std::string &name, const std::string &method, const std::string &path, const std::map<std::string, std::string> &query,
        const std::string &body, int &status, Json &answer)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_isAway) {
            lock.unlock();
            sleepMs(200);
            return false;
        }
        if (path == "/api/kv-range") {
            const std::string prefix = query.count("prefix") > 0 ? query.at("prefix") : "";
            const std::string after = query.count("after") > 0 ? query.at("after") : "";
            answer = {{"items", Json::array()}, {"morePages", false}, {"asOf", m_revision}};
            for (const auto &item : m_items) {
                if (item.first.compare(0, prefix.size(), prefix) == 0 && item.first > after) {
                    answer["items"].push_back(itemJson(item.first, item.second));
                }
            }
            return true;
        }
        if (path == "/api/kv-key") {
            const auto it = m_items.find(query.at("key"));
            status = it == m_items.end() ? 404 : 200;
            answer = it == m_items.end() ? Json::object() : itemJson(it->first, it->second);
            answer["asOf"] = m_revision;
            return true;
        }
        if (path == "/api/kv-watch") {
            m_watchers[query.at("prefix")] = {name, nowMs()};
            return watch(lock, query, status, answer);
        }
        if (path == "/api/kv-txn") {
            const Json call = Json::parse(body);
            if (onTransaction) {
                lock.unlock();
                const bool isAnswered = onTransaction(call);
                lock.lock();
                if (!isAnswered) {
                    return false;
                }
            }
            transact(call, status, answer);
            return true;
        }
        if (path == "/api/kv-lease") {
            const std::int64_t ttl = Json::parse(body).at("ttlMs").get<std::int64_t>();
            m_leases[++m_lastLease] = Lease{ttl, nowMs() + ttl};
            answer = {{"lease", m_lastLease}, {"ttlMs", ttl}};
            return true;
        }
        const std::size_t slash = path.rfind('/');
        const std::int64_t lease = std::atoll(path.substr(slash + 1).c_str());
        const auto known = m_leases.find(lease);
        status = known == m_leases.end() ? 404 : 200;
        if (known != m_leases.end() && method == "DELETE") {
            endLease(lease);
        } else if (known != m_leases.end()) {
            known->second.endsAt = nowMs() + known->second.ttlMs;
            answer = {{"ttlMs", known->second.ttlMs}};
        }
        return true;
    }

    bool watch(std::unique_lock<std::mutex> &lock, const std::map<std::string, std::string> &query, int &status, Json &answer)
    {
        const std::string prefix = query.at("prefix");
        const std::int64_t after = std::atoll(query.at("after").c_str());
        const std::int64_t until = nowMs() + std::atoll(query.at("waitMs").c_str());
        const std::int64_t era = m_era;
        if (after > m_revision) {
            status = 410;
            return true;
        }
        while (true) {
            if (m_isAway || m_era != era) {
                return false;
            }
            Json events = Json::array();
            for (const Change &change : m_history) {
                if (change.revision > after && change.key.compare(0, prefix.size(), prefix) == 0) {
                    events.push_back(change.item.has_value() ? itemJson(change.key, *change.item)
                                                             : Json{{"key", change.key}, {"rev", change.revision}, {"tombstone", true}});
                }
            }
            if (!events.empty() || nowMs() >= until) {
                answer = {{"events", events}, {"asOf", m_revision}};
                return true;
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - nowMs())));
        }
    }

    void transact(const Json &call, int &status, Json &answer)
    {
        Json conflicts = Json::array();
        bool isConflict = false;
        for (const Json &condition : call.at("expectRev")) {
            const std::string key = condition.at("key").get<std::string>();
            const auto it = m_items.find(key);
            const std::int64_t revision = it == m_items.end() ? 0 : it->second.revision;
            isConflict = isConflict || revision != condition.at("rev").get<std::int64_t>();
            if (it != m_items.end()) {
                conflicts.push_back(itemJson(key, it->second));
            }
        }
        if (isConflict) {
            status = 412;
            answer = {{"items", conflicts}};
            return;
        }
        for (const Json &put : call.at("puts")) {
            const std::int64_t lease = put.value("lease", std::int64_t{0});
            if (lease != 0 && m_leases.count(lease) == 0) {
                status = 404;
                return;
            }
        }
        for (const Json &put : call.at("puts")) {
            write(put.at("key").get<std::string>(), fromBase64(put.at("value").get<std::string>()), put.value("lease", std::int64_t{0}));
        }
        for (const Json &key : call.at("remove")) {
            erase(key.get<std::string>());
        }
        m_changed.notify_all();
        answer = {{"rev", m_revision}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::int64_t m_revision = 1;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_lastLease = 0;
    std::int64_t m_era = 0;
    bool m_isAway = false;
    Copy m_copy;
    std::map<std::string, std::pair<std::string, std::int64_t>> m_watchers;
    std::vector<std::unique_ptr<Listener>> m_readers;
    Listener m_listener;
};

/** One request as its runner read it. */
struct RunnerRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::int64_t at = 0;

    std::string attempt() const
    {
        return headerOf(headers, "Attempt-Id");
    }
};

/** A runner: reads requests and lets the case answer them. */
class Runner
{
public:
    /** Answers one request on its connection; false closes the connection, unless the answer has closed it. */
    using Answer = std::function<bool(Runner &runner, int fd, const RunnerRequest &request)>;

    Runner(Store &store, std::string runnerId, std::string serviceName, std::string zoneName, Record &record, Answer answer)
        : id(std::move(runnerId)),
          service(std::move(serviceName)),
          zone(std::move(zoneName)),
          m_store(store),
          m_record(record),
          m_answer(std::move(answer)),
          m_listener([this](int fd) { serve(fd); })
    {
    }

    void announce(const std::string &state = "ready")
    {
        const Json entry = {{"service", service}, {"address", m_listener.address()}, {"zone", zone}, {"version", version}, {"slots", slots}, {"state", state},
            {"coldLeftMs", 0}, {"callSeq", 0}, {"born", m_born}};
        m_store.put("servers/" + id, entry.dump());
    }

    const std::string &address() const
    {
        return m_listener.address();
    }

    std::string seal() const
    {
        return "3e1b.07.5a2.600." + id;
    }

    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    int slots = 8;
    std::atomic<int> runs{0};
    /** Whether it reads no bodies and answers nothing for now. */
    std::atomic<bool> isSilent{false};

private:
    void serve(int fd)
    {
        Reader reader(fd);
        std::string line;
        RunnerRequest request;
        while (reader.head(line, request.headers, nowMs() + 3600000)) {
            request.body.clear();
            while (isSilent) {
                sleepMs(5);
            }
            if (!reader.body(request.headers, request.body, false, nowMs() + 15000)) {
                break;
            }
            request.at = nowMs();
            std::istringstream words(line);
            words >> request.method >> request.target;
            if (request.target == "/health") {
                if (!sendAll(fd, "HTTP/1.1 200 OK\r\nRunner-Id: " + id + "\r\nRunner-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n")) {
                    break;
                }
                continue;
            }
            const std::string expected = headerOf(request.headers, "Expect-Instance");
            if (!expected.empty() && expected != id) {
                if (!sendAll(fd, "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nAttempt-Id: " + request.attempt() + "\r\nContent-Length: 0\r\n\r\n")) {
                    break;
                }
                continue;
            }
            ++runs;
            m_record.note("run      " + request.attempt() + " at " + id + " " + request.method + " " + request.target + " deadline "
                + headerOf(request.headers, "Deadline-Ms") + " tenant " + headerOf(request.headers, "Tenant"));
            if (!m_answer(*this, fd, request)) {
                break;
            }
        }
        ::close(fd);
    }

    Store &m_store;
    Record &m_record;
    Answer m_answer;
    std::int64_t m_born = unixMs();
    Listener m_listener;
};

/** What a client got. */
struct Reply
{
    /** 0: no answer. */
    int status = 0;
    Headers headers;
    std::string body;
    bool isComplete = false;
    bool wasClosed = false;
};

/** A client's channel to a gateway. */
class Client
{
public:
    explicit Client(const std::string &address)
        : m_fd(connectTo(address)),
          m_reader(m_fd)
    {
    }

    ~Client()
    {
        leave();
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    bool isConnected() const
    {
        return m_fd >= 0;
    }

    bool send(const std::string &bytes)
    {
        return m_fd >= 0 && sendAll(m_fd, bytes);
    }

    Reply read(std::int64_t limitMs)
    {
        Reply reply;
        const std::int64_t until = nowMs() + limitMs;
        std::string line;
        if (m_fd >= 0 && m_reader.head(line, reply.headers, until)) {
            reply.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
            reply.isComplete = m_reader.body(reply.headers, reply.body, true, until);
        }
        reply.wasClosed = m_reader.hasEnded();
        return reply;
    }

    void leave()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

    int descriptor() const
    {
        return m_fd;
    }

private:
    int m_fd;
    Reader m_reader;
};

inline std::string requestText(const std::string &method, const std::string &host, const std::string &path, const Headers &headers, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &header : headers) {
        text += header.first + ": " + header.second + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/** The project's gateway as a separate process, with the settings that the deploy file's template gives. */
class Gateway
{
public:
    Gateway(const std::string &folder, std::string instanceName, std::string zoneName, std::string regionName, const std::map<std::string, std::string> &zones,
        const std::string &storeAddress)
        : instance(std::move(instanceName)),
          callers(freeAddress()),
          directory(freeAddress()),
          readiness(freeAddress()),
          peers(freeAddress()),
          metrics(freeAddress()),
          m_settings(folder + "/" + instance + ".yaml"),
          m_log(folder + "/" + instance + ".log")
    {
        std::ofstream file(m_settings);
        file << "instance: \"" << instance << "\"\ndata_centre: \"" << zoneName << "\"\nregion: \"" << regionName << "\"\ndata_centres:\n";
        for (const auto &zone : zones) {
            file << "  \"" << zone.first << "\": \"" << zone.second << "\"\n";
        }
        file
            << "listen:\n  callers: \"" << callers << "\"\n  directory: \"" << directory << "\"\n  readiness: \"" << readiness << "\"\n  peers: \"" << peers
            << "\"\n  metrics: \"" << metrics << "\"\nstore:\n  address: \"" << storeAddress
            << "\"\nmachine:\n  memory_mb: 260\n  cpu_share: 0.25\npromises:\n  key_withdrawal: 5000ms\n  server_drain: 3000ms\n"
               "  server_report_period: 1200ms\n  repeat_share: 0.2\n  allowance_slack: 140000\n  allowance_excess: 0.1\n  repeat_slack: 56\n"
               "  repeat_window: 10s\n  exposure_share: 0.1\n  exposure_slack: 50\n  rollback: 5000ms\n  cold_excess: 1.5\n  cold_slack: 3\n  stop_grace: 8s\n";
    }

    ~Gateway()
    {
        end();
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            // It ends with this program, also where that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (int fd = 3; fd < 1024; ++fd) {
                ::close(fd);
            }
            ::setenv("SNIPEFERRY_CONFIG", m_settings.c_str(), 1);
            ::execl("target/snipeferry-gateway", "target/snipeferry-gateway", static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /** Kills the process if it still runs, and gives its wait status. */
    int end()
    {
        if (m_pid <= 0) {
            return 0;
        }
        int status = 0;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return status;
    }

    /** Whether the process has ended by itself. */
    bool hasEnded()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            endStatus = status;
        }
        return m_pid <= 0;
    }

    bool waitUntilReady(std::int64_t limitMs) const
    {
        const std::int64_t until = nowMs() + limitMs;
        while (nowMs() < until) {
            Client client(readiness);
            if (client.isConnected() && client.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") && client.read(1000).status == 200) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    pid_t pid() const
    {
        return m_pid;
    }

    const std::string &log() const
    {
        return m_log;
    }

    std::string instance;
    std::string callers;
    std::string directory;
    std::string readiness;
    std::string peers;
    std::string metrics;
    int endStatus = 0;

private:
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/** A folder for the settings and logs of one run. */
class Folder
{
public:
    Folder()
    {
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/snipeferry-review-XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) {
            std::perror("mkdtemp");
            std::exit(2);
        }
        path = pattern;
    }

    std::string path;
};

/** Ends the processes and the folder's files, and then this process at once: threads of stand-ins still wait for bytes. */
[[noreturn]] inline void finish(int code, const Folder &folder, const std::vector<Gateway *> &gateways)
{
    for (Gateway *gateway : gateways) {
        gateway->end();
    }
    if (std::getenv("KEEP") == nullptr) {
        const std::string command = "rm -rf '" + folder.path + "'";
        if (std::system(command.c_str()) != 0) {
            std::perror("rm");
        }
    }
    std::_Exit(code);
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline Json routeJson(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"name", name}, {"host", "counter.example"}, {"prefix", prefix}, {"kind", kind}, {"service", service}, {"timeoutMs", 4000},
        {"targetLatencyMs", 400}, {"priority", 1}, {"maxAttempts", kind == "non_idempotent" ? 1 : 2}};
}

inline Json serviceJson(const std::string &name)
{
    return {{"name", name}, {"healthPath", "/health"}, {"maxConns", 110}, {"slots", 8}};
}

inline Json manifestJson(int version, const Json &routes, const Json &services)
{
    return {{"version", version}, {"routes", routes}, {"services", services},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

} // namespace review
