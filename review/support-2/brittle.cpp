#include "platform.h"

#include <algorithm>
#include <iostream>
#include <random>

/**
 * The runners of a plain service say that they are brittle, and later let fewer requests wait. Many users come at once, again and again. A runner that has to
 * turn more than N requests away in a second for want of room falls over and is back after some seconds.
 */
using namespace review;

namespace {

constexpr int GATEWAYS = 3;
constexpr int RUNNERS = 3;
constexpr int SLOTS = 6;
/** Requests that wait beside those in the slots: usually, and while a runner is brittle. */
constexpr int QUEUE = 24;
constexpr int BRITTLE_QUEUE = 2;
/** Requests that a brittle runner can turn away in a second. */
constexpr int BRITTLE_RATE = 1;
constexpr int WORK_MS = 150;
constexpr int DOWN_MS = 3000;
constexpr int CONTACT_MS = 5000;
/** Requests a second that come at random moments: usually, and in a burst of 2.5 times that. The runners can serve 120 a second. */
constexpr double USUAL_RATE = 60;
constexpr double BURST_RATE = 150;
constexpr int BURST_MS = 10000;
constexpr int CALM_MS = 5000;
constexpr int BURSTS = 3;

std::string manifest()
{
    const Json route = {{"name", "reserve"}, {"host", "shop.example"}, {"prefix", "/reserve/"}, {"kind", "non_idempotent"}, {"timeoutMs", 2000},
        {"targetLatencyMs", 500}, {"priority", 1}, {"service", "booking"}, {"maxAttempts", 1}, {"public", false}};
    const Json service = {{"name", "booking"}, {"healthPath", "/health"}, {"maxConns", 110}};
    const Json tenant = {{"name", "bar"}, {"apiKeys", {"k-bar"}}, {"priority", 1}};
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{{"version", 3}, {"routes", {route}}, {"services", {service}}, {"tenants", {tenant}}, {"limits", limits}}.dump();
}

std::atomic<bool> isBrittle{false};
std::atomic<bool> isShort{false};

/** A runner with slots and a queue. */
class BrittleRunner
{
public:
    BrittleRunner(std::string id, Store &store, Record &record)
        : m_id(std::move(id)),
          m_store(store),
          m_record(record)
    {
        begin();
    }

    ~BrittleRunner()
    {
        stop();
    }

    /** Ends a process that has fallen over, and starts the next one after a while. Called again and again. */
    void tend()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_hasFallen && m_listener != nullptr) {
            m_backAt = nowMs() + DOWN_MS;
            lock.unlock();
            m_listener->stop();
            m_changed.notify_all();
            m_listener.reset();
        } else if (m_hasFallen && nowMs() >= m_backAt) {
            m_hasFallen = false;
            lock.unlock();
            begin();
            m_record.line(m_id + " is back");
        }
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_hasFallen = true;
        }
        m_changed.notify_all();
        m_listener.reset();
    }

    std::atomic<int> falls{0};
    std::atomic<int> turnedAway{0};
    std::atomic<int> ran{0};
    std::atomic<int> lost{0};
    std::atomic<int> most{0};

private:
    void begin()
    {
        m_working = 0;
        m_waiting = 0;
        m_refusals.clear();
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_listener = std::make_unique<Listener>([this](Tcp::socket &socket) { serve(socket); });
        m_store.put("servers/" + m_id,
            Json{{"service", "booking"}, {"address", m_listener->address()}, {"zone", "recife-a"}, {"version", "v1"}, {"slots", SLOTS}, {"state", "ready"},
                {"coldLeftMs", 0}, {"callSeq", 0}, {"born", m_born}}
                .dump());
    }

    void addHeaders(http::response<http::string_body> &response) const
    {
        response.set("Runner-Load", std::to_string(m_working) + "," + std::to_string(m_waiting) + "," + std::to_string(SLOTS));
        if (isBrittle) {
            response.set("Server-Brittle", std::to_string(BRITTLE_RATE));
        }
    }

    void serve(Tcp::socket &socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            http::read(socket, buffer, request);
            http::response<http::string_body> response{http::status::ok, 11};
            const std::string attempt(request["Attempt-Id"]);
            const std::string expected(request["Expect-Instance"]);
            response.set("Attempt-Id", attempt);
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_hasFallen) {
                return;
            }
            if (request.target() == "/health") {
                response.set("Runner-Id", m_id);
            } else if (attempt.empty() || (!expected.empty() && expected != m_id)) {
                response.result(attempt.empty() ? 400 : 421);
                response.set("Not-Executed", "1");
            } else if (m_waiting >= (isShort ? BRITTLE_QUEUE : QUEUE) && m_working >= SLOTS) {
                refuse(response);
            } else {
                ++m_waiting;
                most = std::max(most.load(), m_working + m_waiting);
                m_changed.wait(lock, [this] { return m_working < SLOTS || m_hasFallen; });
                --m_waiting;
                if (m_hasFallen) {
                    ++lost;
                    return;
                }
                ++m_working;
                const bool hasEnded = m_changed.wait_for(lock, std::chrono::milliseconds(WORK_MS), [this] { return m_hasFallen; });
                --m_working;
                if (hasEnded) {
                    ++lost;
                    return;
                }
                m_changed.notify_all();
                ++ran;
                response.set("Server-Seal", m_id + "." + attempt);
                response.body() = "answer to " + attempt;
            }
            addHeaders(response);
            lock.unlock();
            response.prepare_payload();
            http::write(socket, response);
        }
    }

    /** Call with the lock held. */
    void refuse(http::response<http::string_body> &response)
    {
        response.result(503);
        response.set("Not-Executed", "1");
        ++turnedAway;
        const std::int64_t now = nowMs();
        m_refusals.push_back(now);
        while (m_refusals.front() <= now - 1000) {
            m_refusals.pop_front();
        }
        if (isBrittle && static_cast<int>(m_refusals.size()) > BRITTLE_RATE && !m_hasFallen) {
            m_hasFallen = true;
            ++falls;
            m_record.line(m_id + " has turned " + std::to_string(m_refusals.size()) + " requests away in a second and falls over; in work "
                + std::to_string(m_working) + ", waiting " + std::to_string(m_waiting));
        }
    }

    std::string m_id;
    Store &m_store;
    Record &m_record;
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hasFallen = false;
    std::int64_t m_backAt = 0;
    int m_working = 0;
    int m_waiting = 0;
    std::deque<std::int64_t> m_refusals;
    std::unique_ptr<Listener> m_listener;
};

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = newFolder();
    Store store;
    store.put("op/config", manifest());
    std::vector<std::unique_ptr<BrittleRunner>> runners;
    for (int i = 0; i < RUNNERS; ++i) {
        runners.push_back(std::make_unique<BrittleRunner>("i-" + std::to_string(i + 1), store, record));
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
            for (const auto &runner : runners) {
                runner->tend();
            }
            sleepMs(2);
        }
    });
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<int, int> answers;
    const auto ask = [&](int number) {
        const std::string attempt = "a" + std::to_string(++sent);
        const Answer answer = call(gateways[static_cast<std::size_t>(number % GATEWAYS)]->place().callers, "POST", "/reserve/units",
            {{"Attempt-Id", attempt}, {"Api-Key", "k-bar"}, {"Deadline-Ms", "2000"}}, "two heaters", 3000);
        const std::lock_guard<std::mutex> lock(mutex);
        ++answers[answer.status];
    };
    // Requests come one by one at random moments and any gateway; nobody waits for another's answer.
    std::atomic<double> rate{USUAL_RATE};
    std::vector<std::thread> users;
    std::thread traffic([&] {
        std::mt19937 random(static_cast<unsigned>(std::chrono::system_clock::now().time_since_epoch().count()));
        double due = static_cast<double>(nowMs());
        while (!isOver) {
            due += std::exponential_distribution<double>(rate / 1000.0)(random);
            sleepMs(static_cast<std::int64_t>(due) - nowMs());
            users.emplace_back([&, number = static_cast<int>(random() % GATEWAYS)] { ask(number); });
        }
    });
    sleepMs(3000);
    if (!isTroubleOff()) {
        isBrittle = true;
        record.line("the runners say in all their answers that they are brittle (" + std::to_string(BRITTLE_RATE) + ")");
        sleepMs(CONTACT_MS + 1000);
        isShort = true;
        record.line("the runners let " + std::to_string(BRITTLE_QUEUE) + " requests wait");
    } else {
        sleepMs(CONTACT_MS + 1000);
    }
    for (int burst = 0; burst < BURSTS; ++burst) {
        rate = BURST_RATE;
        record.line("a burst begins: " + std::to_string(BURST_RATE) + " requests a second");
        sleepMs(BURST_MS);
        rate = USUAL_RATE;
        record.line("the burst is over");
        sleepMs(CALM_MS);
    }
    isOver = true;
    traffic.join();
    for (std::thread &user : users) {
        user.join();
    }
    tender.join();
    int falls = 0;
    int lost = 0;
    for (const auto &runner : runners) {
        falls += runner->falls;
        lost += runner->lost;
        runner->stop();
        record.line("a runner: ran " + std::to_string(runner->ran) + ", turned away " + std::to_string(runner->turnedAway) + ", fell over "
            + std::to_string(runner->falls) + " times, requests lost by that " + std::to_string(runner->lost) + ", most at once "
            + std::to_string(runner->most));
    }
    for (const auto &answer : answers) {
        record.line("answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    bool allRan = true;
    for (const auto &gateway : gateways) {
        allRan = allRan && gateway->isRunning();
        gateway->kill();
    }
    store.stop();
    const double bound = 2 + 0.1 * RUNNERS;
    const bool isBroken = falls > bound;
    record.line("falls: " + std::to_string(falls) + ", allowed: " + std::to_string(bound));
    if (!allRan || answers[200] < 50) {
        record.line("the case could not run");
        return 2;
    }
    record.line(isBroken ? "LIMIT is broken" : "LIMIT holds");
    std::cout << (isBroken ? "broken" : "held") << ", falls " << falls << ", lost " << lost << std::endl;
    return isBroken ? 1 : 0;
}
