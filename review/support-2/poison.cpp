#include "platform.h"

#include <algorithm>
#include <iostream>
#include <random>

/**
 * One part of a prompt crashes each runner that begins to write an answer on it. Requests with that part come in groups, as a caller that works through a list
 * with several workers sends them. Sound requests share the caller and the other parts.
 */
using namespace review;

namespace {

constexpr int GATEWAYS = 3;
constexpr int RUNNERS = 8;
constexpr int SLOTS = 64;
constexpr int EVENTS = 6;
constexpr int READ_MS = 60;
constexpr int EVENT_MS = 20;
constexpr int DOWN_MS = 4000;
/** A crashed runner's entry is removed after three beats of silence. */
constexpr int SILENT_MS = 3600;
constexpr std::int64_t CONTACT_MS = 5000;
constexpr int GROUP = 8;
constexpr int GROUP_GAP_MS = 6500;
constexpr int GROUPS = 5;
constexpr double SOUND_RATE = 30;
constexpr int PROMPT_TOKENS = 6610;
const std::string FIRST_PART = "5c1e07a2:5000";
const std::string POISON = "deadbee1";

std::string manifest()
{
    const Json route
        = {{"name", "plan"}, {"host", "shop.example"}, {"prefix", "/plan/"}, {"kind", "streaming"}, {"timeoutMs", 10000}, {"targetLatencyMs", 1200},
            {"gapAimMs", 800}, {"priority", 1}, {"service", "llm"}, {"maxAttempts", 2}, {"public", false}, {"sticky", true}, {"resumable", true}};
    const Json engine = {{"slots", 64}, {"kvCapacity", 379934}, {"kvTokenBytes", 18432}, {"linkMbps", 370000.0}, {"models", {{{"name", "m"}}}}};
    const Json service = {{"name", "llm"}, {"healthPath", "/health"}, {"maxConns", 370}, {"engine", engine}};
    const Json tenant = {{"name", "bar"}, {"apiKeys", {"k-bar"}}, {"priority", 1}};
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{{"version", 3}, {"routes", {route}}, {"services", {service}}, {"tenants", {tenant}}, {"limits", limits}}.dump();
}

/** A model runner. */
class Engine
{
public:
    Engine(std::string id, Store &store, Record &record)
        : m_id(std::move(id)),
          m_store(store),
          m_record(record)
    {
        begin();
    }

    ~Engine()
    {
        stop();
    }

    /** Ends a crashed process, and starts the next one after a while. Called again and again. */
    void tend()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_isDown) {
            return;
        }
        if (m_listener != nullptr) {
            m_downAt = nowMs();
            m_isAnnounced = true;
            lock.unlock();
            m_listener->stop();
            m_changed.notify_all();
            m_listener.reset();
        } else if (nowMs() >= m_downAt + DOWN_MS) {
            m_isDown = false;
            lock.unlock();
            begin();
            m_record.line(m_id + " is back");
        } else if (m_isAnnounced && nowMs() >= m_downAt + SILENT_MS) {
            m_isAnnounced = false;
            lock.unlock();
            m_store.remove("servers/" + m_id);
        }
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isDown = true;
        }
        m_changed.notify_all();
        m_listener.reset();
    }

    static std::mutex s_mutex;
    static std::vector<std::int64_t> s_crashes;
    static std::vector<std::pair<std::int64_t, std::string>> s_poisoned;
    static int s_lost;
    static int s_ran;

private:
    void begin()
    {
        m_running = 0;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_listener = std::make_unique<Listener>([this](Tcp::socket &socket) { serve(socket); });
        m_store.put("servers/" + m_id,
            Json{{"service", "llm"}, {"address", m_listener->address()}, {"zone", "recife-a"}, {"version", "v1"}, {"slots", SLOTS}, {"state", "ready"},
                {"coldLeftMs", 0}, {"callSeq", 0}, {"born", m_born}}
                .dump());
    }

    /** false: the process has ended meanwhile. */
    bool work(std::unique_lock<std::mutex> &lock, int ms)
    {
        return !m_changed.wait_for(lock, std::chrono::milliseconds(ms), [this] { return m_isDown; });
    }

    static void send(Tcp::socket &socket, const std::string &bytes)
    {
        asio::write(socket, asio::buffer(bytes));
    }

    static std::string chunk(const std::string &data)
    {
        std::ostringstream out;
        out << std::hex << data.size() << "\r\n" << data << "\r\n";
        return out.str();
    }

    void serve(Tcp::socket &socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            http::read(socket, buffer, request);
            const std::string attempt(request["Attempt-Id"]);
            const std::string expected(request["Expect-Instance"]);
            const std::string parts(request["Prompt-Prefix"]);
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_isDown) {
                return;
            }
            const std::string load = "Runner-Load: " + std::to_string(m_running) + ",0," + std::to_string(SLOTS) + "\r\n";
            if (request.target() == "/health") {
                lock.unlock();
                send(socket, "HTTP/1.1 200 OK\r\nRunner-Id: " + m_id + "\r\n" + load + "Content-Length: 0\r\n\r\n");
                continue;
            }
            if (attempt.empty() || (!expected.empty() && expected != m_id)) {
                lock.unlock();
                send(socket,
                    std::string("HTTP/1.1 ") + (attempt.empty() ? "400 Bad Request" : "421 Misdirected Request") + "\r\nAttempt-Id: " + attempt
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const bool isPoisoned = parts.find(POISON) != std::string::npos;
            if (isPoisoned) {
                const std::lock_guard<std::mutex> inner(s_mutex);
                s_poisoned.emplace_back(nowMs(), attempt);
                m_record.line(m_id + " gets " + attempt + ", which has the part");
            }
            ++m_running;
            const int first = request["Last-Event-Id"].empty() ? 1 : std::stoi(std::string(request["Last-Event-Id"])) + 1;
            if (!work(lock, READ_MS)) {
                countLost(isPoisoned);
                return;
            }
            lock.unlock();
            send(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " + m_id + "." + attempt + "\r\n" + load
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            lock.lock();
            if (isPoisoned && !isTroubleOff()) {
                if (work(lock, 5)) {
                    m_isDown = true;
                    const std::lock_guard<std::mutex> inner(s_mutex);
                    s_crashes.push_back(nowMs());
                    m_record.line(m_id + " crashes (crash " + std::to_string(s_crashes.size()) + ")");
                }
                return;
            }
            for (int event = first; event <= EVENTS; ++event) {
                if (!work(lock, EVENT_MS)) {
                    countLost(isPoisoned);
                    return;
                }
                lock.unlock();
                send(socket, chunk("id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n"));
                lock.lock();
            }
            --m_running;
            lock.unlock();
            send(socket, "0\r\n\r\n");
            const std::lock_guard<std::mutex> inner(s_mutex);
            ++s_ran;
        }
    }

    static void countLost(bool isPoisoned)
    {
        const std::lock_guard<std::mutex> inner(s_mutex);
        s_lost += isPoisoned ? 0 : 1;
    }

    std::string m_id;
    Store &m_store;
    Record &m_record;
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isDown = false;
    bool m_isAnnounced = true;
    std::int64_t m_downAt = 0;
    int m_running = 0;
    std::unique_ptr<Listener> m_listener;
};

std::mutex Engine::s_mutex;
std::vector<std::int64_t> Engine::s_crashes;
std::vector<std::pair<std::int64_t, std::string>> Engine::s_poisoned;
int Engine::s_lost = 0;
int Engine::s_ran = 0;

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = newFolder();
    Store store;
    store.put("op/config", manifest());
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < RUNNERS; ++i) {
        engines.push_back(std::make_unique<Engine>("i-" + std::to_string(i + 1), store, record));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < GATEWAYS; ++i) {
        gateways.push_back(std::make_unique<Gateway>(freePlace("front-" + std::to_string(i + 1), "recife-a", "recife"), folder, store.address(),
            std::map<std::string, std::string>{{"recife-a", "recife"}}));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(15000)) {
            record.line(gateway->place().name + " does not get ready");
            return 2;
        }
    }
    record.line("all gateways are ready");
    std::atomic<bool> isOver{false};
    std::thread tender([&] {
        while (!isOver) {
            for (const auto &engine : engines) {
                engine->tend();
            }
            sleepMs(2);
        }
    });
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<int, int> answers;
    std::map<int, int> poisonedAnswers;
    const auto ask = [&](int number, bool isPoisoned) {
        const int id = ++sent;
        const std::string attempt = (isPoisoned ? "p" : "a") + std::to_string(id);
        const std::string middle = isPoisoned ? POISON : "91bd3f06";
        const Answer answer = call(gateways[static_cast<std::size_t>(number % GATEWAYS)]->place().callers, "POST", "/plan/day",
            {{"Attempt-Id", attempt}, {"Api-Key", "k-bar"}, {"Deadline-Ms", "10000"}, {"Model", "m"}, {"Token-Counts", std::to_string(PROMPT_TOKENS) + ",42"},
                {"Prompt-Prefix", FIRST_PART + "," + middle + ":410," + std::to_string(10000000 + id) + ":1200"}},
            "plan " + attempt, 11000);
        const std::lock_guard<std::mutex> lock(mutex);
        ++(isPoisoned ? poisonedAnswers : answers)[answer.status];
    };
    std::vector<std::thread> users;
    std::thread traffic([&] {
        std::mt19937 random(7);
        double due = static_cast<double>(nowMs());
        while (!isOver) {
            due += std::exponential_distribution<double>(SOUND_RATE / 1000.0)(random);
            sleepMs(static_cast<std::int64_t>(due) - nowMs());
            users.emplace_back([&, number = static_cast<int>(random() % GATEWAYS)] { ask(number, false); });
        }
    });
    sleepMs(7000);
    std::vector<std::thread> workers;
    for (int group = 0; group < GROUPS; ++group) {
        record.line("a group of " + std::to_string(GROUP) + " requests with the part comes");
        for (int i = 0; i < GROUP; ++i) {
            workers.emplace_back([&, i] { ask(i, true); });
        }
        sleepMs(GROUP_GAP_MS);
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    isOver = true;
    traffic.join();
    for (std::thread &user : users) {
        user.join();
    }
    tender.join();
    for (const auto &engine : engines) {
        engine->stop();
    }
    const std::int64_t fifth = Engine::s_crashes.size() >= 5 ? Engine::s_crashes[4] : INT64_MAX / 2;
    const int late = static_cast<int>(
        std::count_if(Engine::s_poisoned.begin(), Engine::s_poisoned.end(), [fifth](const auto &seen) { return seen.first > fifth + CONTACT_MS; }));
    for (const auto &answer : answers) {
        record.line("sound requests, answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    for (const auto &answer : poisonedAnswers) {
        record.line("requests with the part, answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    record.line("crashes: " + std::to_string(Engine::s_crashes.size()) + ", the fifth at " + (Engine::s_crashes.size() >= 5 ? std::to_string(fifth) : "-")
        + " ms; runs of sound requests that these ended: " + std::to_string(Engine::s_lost));
    record.line("requests with the part that reached runners later than " + std::to_string(CONTACT_MS) + " ms after the fifth crash: " + std::to_string(late)
        + ", allowed: 3");
    bool allRan = true;
    for (const auto &gateway : gateways) {
        allRan = allRan && gateway->isRunning();
        gateway->kill();
    }
    store.stop();
    if (!allRan || Engine::s_ran < 100) {
        record.line("the case could not run");
        return 2;
    }
    record.line(late > 3 ? "BUDGET is broken" : "BUDGET holds");
    std::cout << (late > 3 ? "broken" : "held") << ", late " << late << ", crashes " << Engine::s_crashes.size() << ", lost " << Engine::s_lost << std::endl;
    return late > 3 ? 1 : 0;
}
