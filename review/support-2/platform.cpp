#include "platform.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>

namespace review {

namespace {

const Clock::time_point START = Clock::now();
constexpr std::int64_t HISTORY_MS = 20000;
constexpr int GRACE_MS = 8000;

const std::string DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : DIGITS[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = DIGITS.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
        }
        at = end;
    }
    return query;
}

void setTimeout(Tcp::socket &socket, int ms)
{
    const timeval time{ms / 1000, (ms % 1000) * 1000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const int on = 1;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, 1, &on, sizeof on);
}

Tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/** Below the range from which the kernel takes the ports of outgoing connections, and at random, for scripts that run beside each other. */
int freePort()
{
    std::random_device device;
    asio::io_context context;
    while (true) {
        const int port = std::uniform_int_distribution<int>(10000, 30000)(device);
        Tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(Tcp::v4(), error);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)}, error);
        if (!error) {
            return port;
        }
    }
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - START).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

Record::Record(const std::string &file)
    : m_out(file)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_out << nowMs() << " ms  " << text << std::endl;
}

Listener::Listener(Handler handler)
    : m_handler(std::move(handler)),
      m_acceptor(m_context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    m_thread = std::thread([this] { run(); });
}

Listener::~Listener()
{
    stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string Listener::address() const
{
    return m_address;
}

void Listener::run()
{
    while (!m_isStopped) {
        auto socket = std::make_shared<Tcp::socket>(m_context);
        boost::system::error_code error;
        m_acceptor.accept(*socket, error);
        if (error) {
            sleepMs(1);
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isStopped) {
            return;
        }
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] {
            try {
                m_handler(*socket);
            } catch (const std::exception &) {
                // A connection that ends is no matter.
            }
            const std::lock_guard<std::mutex> inner(m_mutex);
            boost::system::error_code ignored;
            socket->close(ignored);
        });
    }
}

void Listener::stop()
{
    if (m_isStopped.exchange(true)) {
        return;
    }
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Tcp::socket> &socket : m_sockets) {
        if (socket->is_open()) {
            ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
    }
}

Store::Store()
{
    m_listener = std::make_unique<Listener>([this](Tcp::socket &socket) { serve(socket); });
    m_expiry = std::thread([this] {
        while (!m_isStopped) {
            expireLeases();
            sleepMs(50);
        }
    });
}

std::string Store::address() const
{
    return m_listener->address();
}

Store::~Store()
{
    stop();
}

void Store::stop()
{
    if (m_isStopped.exchange(true)) {
        return;
    }
    m_changed.notify_all();
    m_expiry.join();
    m_listener.reset();
}

void Store::change(const std::string &key, std::optional<Item> item, std::int64_t revision)
{
    if (item.has_value()) {
        const auto known = m_items.find(key);
        item->revision = revision;
        item->created = known == m_items.end() ? revision : known->second.created;
        m_items[key] = *item;
    } else {
        m_items.erase(key);
    }
    m_history.push_back({key, revision, nowMs(), item});
    m_changed.notify_all();
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(key, Item{value, 0, 0, 0}, ++m_revision);
    return m_revision;
}

std::int64_t Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(key, std::nullopt, ++m_revision);
    return m_revision;
}

std::vector<std::string> Store::keys(const std::string &prefix)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> found;
    for (const auto &entry : m_items) {
        if (startsWith(entry.first, prefix)) {
            found.push_back(entry.first);
        }
    }
    return found;
}

void Store::setWatchCut(int ms)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_watchCutMs = ms;
}

void Store::setPageItems(std::size_t items)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pageItems = items;
}

void Store::setStaleness(std::function<int(int)> staleness)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_staleness = std::move(staleness);
}

void Store::setAnswerMs(int ms)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_answerMs = ms;
}

void Store::leave()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isAway = true;
    m_changed.notify_all();
}

void Store::comeBackAsOf(std::int64_t copiedAtMs)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items.clear();
    while (!m_history.empty() && m_history.back().atMs > copiedAtMs) {
        m_history.pop_back();
    }
    for (const Change &change : m_history) {
        if (change.item.has_value()) {
            m_items[change.key] = *change.item;
        } else {
            m_items.erase(change.key);
        }
    }
    m_revision = m_history.empty() ? 100 : m_history.back().revision;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        it = it->second.openedMs > copiedAtMs ? m_leases.erase(it) : std::next(it);
    }
    for (auto &lease : m_leases) {
        lease.second.endsMs = nowMs() + lease.second.ttlMs;
    }
    m_lastLease = m_leases.empty() ? 0 : m_leases.rbegin()->first;
    m_era = std::max<std::int64_t>(1, m_era) + 1;
    m_isAway = false;
}

bool Store::isAway()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_isAway;
}

std::int64_t Store::era()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::max<std::int64_t>(1, m_era);
}

void Store::endLease(std::int64_t lease)
{
    std::vector<std::string> held;
    for (const auto &entry : m_items) {
        if (entry.second.lease == lease) {
            held.push_back(entry.first);
        }
    }
    m_leases.erase(lease);
    if (held.empty()) {
        return;
    }
    ++m_revision;
    for (const std::string &key : held) {
        change(key, std::nullopt, m_revision);
    }
}

void Store::expireLeases()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isAway) {
        return;
    }
    std::vector<std::int64_t> over;
    for (const auto &entry : m_leases) {
        if (entry.second.endsMs <= nowMs()) {
            over.push_back(entry.first);
        }
    }
    for (const std::int64_t lease : over) {
        endLease(lease);
    }
}

Json Store::itemJson(const std::string &key, const Item &item) const
{
    return {{"key", key}, {"value", toBase64(item.value)}, {"rev", item.revision}, {"createRevision", item.created}, {"lease", item.lease}};
}

Json Store::range(const std::map<std::string, std::string> &query)
{
    const std::string prefix = query.at("prefix");
    const std::string after = query.count("after") > 0 ? query.at("after") : std::string();
    const bool mayBeOld = query.count("allowStale") > 0 && query.at("allowStale") == "1";
    std::map<std::string, Item> items = m_items;
    std::int64_t asOf = m_revision;
    if (mayBeOld && m_staleness) {
        // What a copy that is behind holds: the changes since are taken back, the newest first.
        const std::int64_t then = nowMs() - m_staleness(after.empty() ? 0 : 1);
        std::map<std::string, std::optional<Item>> before;
        bool isOld = false;
        items.clear();
        asOf = 0;
        for (const Change &change : m_history) {
            if (change.atMs > then) {
                isOld = true;
                continue;
            }
            asOf = std::max(asOf, change.revision);
            if (change.item.has_value()) {
                items[change.key] = *change.item;
            } else {
                items.erase(change.key);
            }
        }
        staleReads += isOld ? 1 : 0;
    }
    Json page = Json::array();
    bool hasMore = false;
    for (const auto &entry : items) {
        if (!startsWith(entry.first, prefix) || entry.first <= after) {
            continue;
        }
        if (page.size() >= m_pageItems) {
            hasMore = true;
            break;
        }
        page.push_back(itemJson(entry.first, entry.second));
    }
    return {{"items", page}, {"morePages", hasMore}, {"asOf", asOf}};
}

bool Store::watch(const std::map<std::string, std::string> &query, int &status, Json &body)
{
    const std::string prefix = query.at("prefix");
    const std::int64_t after = std::stoll(query.at("after"));
    const std::int64_t waitMs = std::min<std::int64_t>(30000, std::stoll(query.at("waitMs")));
    const std::int64_t startedMs = nowMs();
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopped && !m_isAway) {
        if (after > m_revision) {
            status = 410;
            return true;
        }
        Json events = Json::array();
        for (const Change &change : m_history) {
            if (change.revision <= after || !startsWith(change.key, prefix)) {
                continue;
            }
            if (change.item.has_value()) {
                events.push_back(itemJson(change.key, *change.item));
            } else {
                events.push_back({{"key", change.key}, {"rev", change.revision}, {"tombstone", true}});
            }
        }
        const std::int64_t waited = nowMs() - startedMs;
        if (!events.empty() || waited >= waitMs) {
            status = 200;
            body = {{"events", events}, {"asOf", m_revision}};
            lock.unlock();
            sleepMs(m_answerMs);
            return true;
        }
        if (m_watchCutMs > 0 && waited >= m_watchCutMs) {
            ++watchesCut;
            return false;
        }
        const std::int64_t left = m_watchCutMs > 0 ? std::min<std::int64_t>(waitMs, m_watchCutMs) - waited : waitMs - waited;
        m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, left)));
    }
    return false;
}

bool Store::answer(const Request &request, int &status, Json &body)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = queryOf(target);
    const Json fields = Json::parse(request.body(), nullptr, false);
    status = 200;
    body = Json::object();
    if (path == "/api/kv-watch") {
        return watch(query, status, body);
    }
    sleepMs(m_answerMs);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (path == "/api/kv-range") {
        body = range(query);
    } else if (path == "/api/kv-key") {
        const auto item = m_items.find(query.at("key"));
        status = item == m_items.end() ? 404 : 200;
        body = item == m_items.end() ? Json{{"asOf", m_revision}} : itemJson(item->first, item->second);
        body["asOf"] = m_revision;
    } else if (path == "/api/kv-lease") {
        const std::int64_t ttl = fields.at("ttlMs").get<std::int64_t>();
        m_leases[++m_lastLease] = {ttl, nowMs(), nowMs() + ttl};
        body = {{"lease", m_lastLease}, {"ttlMs", ttl}};
    } else if (startsWith(path, "/api/kv-keep/")) {
        const auto lease = m_leases.find(std::stoll(path.substr(13)));
        if (lease == m_leases.end()) {
            status = 404;
        } else {
            lease->second.endsMs = nowMs() + lease->second.ttlMs;
        }
    } else if (startsWith(path, "/api/kv-lease-end/")) {
        const std::int64_t lease = std::stoll(path.substr(18));
        status = m_leases.count(lease) > 0 ? 200 : 404;
        endLease(lease);
    } else if (path == "/api/kv-txn") {
        Json current = Json::array();
        bool holds = true;
        for (const Json &row : fields.value("expectRev", Json::array())) {
            const auto item = m_items.find(row.at("key").get<std::string>());
            const std::int64_t revision = item == m_items.end() ? 0 : item->second.revision;
            holds = holds && revision == row.at("rev").get<std::int64_t>();
            if (item != m_items.end()) {
                current.push_back(itemJson(item->first, item->second));
            }
        }
        for (const Json &put : fields.value("puts", Json::array())) {
            const std::int64_t lease = put.value("lease", std::int64_t{0});
            if (lease != 0 && m_leases.count(lease) == 0) {
                status = 404;
                return true;
            }
        }
        if (!holds) {
            status = 412;
            body = {{"items", current}};
            return true;
        }
        ++m_revision;
        for (const Json &put : fields.value("puts", Json::array())) {
            Item item;
            item.value = fromBase64(put.at("value").get<std::string>());
            item.lease = put.value("lease", std::int64_t{0});
            change(put.at("key").get<std::string>(), item, m_revision);
        }
        for (const Json &key : fields.value("remove", Json::array())) {
            change(key.get<std::string>(), std::nullopt, m_revision);
        }
        body = {{"rev", m_revision}};
    } else {
        status = 404;
    }
    return true;
}

void Store::serve(Tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    while (!m_isStopped) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(8U << 20U);
        http::read(socket, buffer, parser);
        int status = 200;
        Json body;
        if (isAway() || !answer(parser.get(), status, body) || isAway()) {
            return;
        }
        http::response<http::string_body> response{static_cast<http::status>(status), 11};
        response.set(http::field::content_type, "application/json");
        response.set("Store-Era", std::to_string(era()));
        response.body() = body.dump();
        response.prepare_payload();
        http::write(socket, response);
    }
}

Runner::Runner(std::string id, std::string service, std::string zone, int slots, int workMs)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_slots(slots),
      m_workMs(workMs),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    m_listener = std::make_unique<Listener>([this](Tcp::socket &socket) { serve(socket); });
}

const std::string &Runner::id() const
{
    return m_id;
}

std::string Runner::address() const
{
    return m_listener->address();
}

std::int64_t Runner::born() const
{
    return m_born;
}

std::string Runner::entry(const std::string &state) const
{
    return Json{{"service", m_service}, {"address", m_listener->address()}, {"zone", m_zone}, {"version", "v1"}, {"slots", m_slots}, {"state", state},
        {"coldLeftMs", 0}, {"callSeq", 0}, {"born", m_born}}
        .dump();
}

std::vector<RunSeen> Runner::seen()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_seen;
}

int Runner::working() const
{
    return m_working;
}

void Runner::end()
{
    m_listener->stop();
}

void Runner::serve(Tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        Request request;
        http::read(socket, buffer, request);
        http::response<http::string_body> response{http::status::ok, 11};
        const std::string attempt(request["Attempt-Id"]);
        const std::string expected(request["Expect-Instance"]);
        response.set("Attempt-Id", attempt);
        if (request.target() == "/health") {
            response.set("Runner-Id", m_id);
        } else if (attempt.empty() || (!expected.empty() && expected != m_id)) {
            response.result(attempt.empty() ? 400 : 421);
            response.set("Not-Executed", "1");
        } else {
            ++m_working;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_seen.push_back({attempt, nowMs(), expected});
            }
            sleepMs(m_workMs);
            --m_working;
            response.set("Server-Seal", m_id + "." + attempt);
            response.set("Runner-Load", std::to_string(m_working) + ",0," + std::to_string(m_slots));
            response.body() = "answer to " + attempt;
        }
        response.prepare_payload();
        http::write(socket, response);
    }
}

std::string Answer::header(const std::string &name) const
{
    for (const auto &header : headers) {
        if (boost::beast::iequals(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

Answer call(const std::string &address, const std::string &method, const std::string &target, const Headers &headers, const std::string &body, int timeoutMs)
{
    Answer answer;
    try {
        asio::io_context context;
        Tcp::socket socket(context);
        socket.open(Tcp::v4());
        setTimeout(socket, timeoutMs);
        socket.connect(endpointOf(address));
        Request request;
        request.method_string(method);
        request.target(target);
        request.version(11);
        request.set(http::field::host, "shop.example");
        for (const auto &header : headers) {
            request.set(header.first, header.second);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        answer.status = static_cast<int>(response.result_int());
        answer.body = response.body();
        for (const auto &field : response) {
            answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    } catch (const std::exception &) {
        answer.status = 0;
    }
    return answer;
}

GatewayPlace freePlace(const std::string &name, const std::string &zone, const std::string &region)
{
    const auto address = [] {
        return "127.0.0.1:" + std::to_string(freePort());
    };
    return {name, zone, region, address(), address(), address(), address()};
}

Gateway::Gateway(GatewayPlace place, std::string folder, const std::string &store, const std::map<std::string, std::string> &zones, const std::string &bounds)
    : m_place(std::move(place)),
      m_settings(folder + "/" + m_place.name + ".yaml"),
      m_log(folder + "/" + m_place.name + ".log")
{
    // What deploy/gateway.yaml.template makes of a small installation.
    std::ofstream out(m_settings);
    out << "instance: \"" << m_place.name << "\"\ndata_centre: \"" << m_place.zone << "\"\nregion: \"" << m_place.region << "\"\ndata_centres:\n";
    for (const auto &zone : zones) {
        out << "  \"" << zone.first << "\": \"" << zone.second << "\"\n";
    }
    out << "listen:\n  callers: \"" << m_place.callers << "\"\n  directory: \"" << m_place.directory << "\"\n  readiness: \"" << m_place.ready
        << "\"\n  peers: \"" << m_place.peers << "\"\nstore:\n  address: \"" << store << "\"\nmachine:\n  memory_mb: 260\n  cpu_share: 0.25\npromises:\n"
        << (bounds.empty()
                   ? "  key_withdrawal: 5000ms\n  server_drain: 3000ms\n  server_report_period: 1200ms\n  repeat_share: 0.2\n  allowance_slack: 140000\n"
                     "  allowance_excess: 0.1\n  repeat_slack: 56\n  repeat_window: 10s\n  exposure_share: 0.1\n  exposure_slack: 50\n"
                     "  rollback: 5000ms\n  cold_excess: 1.5\n  cold_slack: 3\n  stop_grace: 8s\n"
                   : bounds);
}

Gateway::~Gateway()
{
    kill();
}

const GatewayPlace &Gateway::place() const
{
    return m_place;
}

std::int64_t Gateway::startedMs() const
{
    return m_startedMs;
}

void Gateway::start()
{
    const pid_t pid = ::fork();
    if (pid == 0) {
        // It must not outlive this program.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        for (int fd = 3; fd < 1024; ++fd) {
            ::close(fd);
        }
        ::setenv("SNIPEFERRY_CONFIG", m_settings.c_str(), 1);
        ::execl("target/snipeferry-gateway", "target/snipeferry-gateway", static_cast<char *>(nullptr));
        ::_exit(127);
    }
    m_pid = pid;
    m_startedMs = nowMs();
}

void Gateway::signal(int number)
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Gateway::reap(int timeoutMs)
{
    const std::int64_t end = nowMs() + timeoutMs;
    while (m_pid > 0) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
        } else if (nowMs() > end) {
            ::kill(m_pid, SIGKILL);
        } else {
            sleepMs(5);
        }
    }
}

void Gateway::terminate()
{
    signal(SIGTERM);
    reap(GRACE_MS);
}

void Gateway::kill()
{
    signal(SIGKILL);
    reap(0);
}

bool Gateway::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

bool Gateway::isReady() const
{
    return call(m_place.ready, "GET", "/api/ready", {}, "", 500).status == 200;
}

bool Gateway::awaitReady(int timeoutMs) const
{
    const std::int64_t end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        if (isReady()) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

bool isTroubleOff()
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && std::string(value) == "0";
}

std::string newFolder()
{
    std::string name = "/tmp/review-XXXXXX";
    return ::mkdtemp(name.data()) == nullptr ? std::string("/tmp") : name;
}

} // namespace review
