#include "platform.h"

#include <iostream>
#include <set>

/**
 * The store cuts watches that have waited for a while. A runner that never reports that it leaves is removed from the store. Afterwards requests may reach it
 * for drainMs at most.
 */
using namespace review;

namespace {

constexpr std::int64_t DRAIN_MS = 3000;
constexpr int WATCH_CUT_MS = 2000;
constexpr std::int64_t LINGER_MS = 20000;
constexpr std::int64_t REQUEST_GAP_MS = 160;
constexpr int CALLERS = 16;

std::string manifest()
{
    const Json route = {{"name", "reserve"}, {"host", "shop.example"}, {"prefix", "/reserve/"}, {"kind", "non_idempotent"}, {"timeoutMs", 2000},
        {"targetLatencyMs", 300}, {"priority", 1}, {"service", "booking"}, {"maxAttempts", 1}, {"public", false}};
    const Json service = {{"name", "booking"}, {"healthPath", "/health"}, {"maxConns", 110}};
    const Json tenant = {{"name", "bar"}, {"apiKeys", {"k-bar"}}, {"priority", 1}};
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{{"version", 3}, {"routes", {route}}, {"services", {service}}, {"tenants", {tenant}}, {"limits", limits}}.dump();
}

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = newFolder();
    const std::map<std::string, std::string> zones = {{"recife-a", "recife"}};
    Store store;
    store.put("op/config", manifest());
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char *id : {"i-one", "i-two", "i-three"}) {
        runners.push_back(std::make_unique<Runner>(id, "booking", "recife-a", 6, 60));
        store.put(std::string("servers/") + id, runners.back()->entry("ready"));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"front-1", "front-2"}) {
        gateways.push_back(std::make_unique<Gateway>(freePlace(name, "recife-a", "recife"), folder, store.address(), zones));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(15000)) {
            record.line(gateway->place().name + " does not get ready");
            return 2;
        }
    }
    record.line("both gateways are ready");
    if (!isTroubleOff()) {
        store.setWatchCut(WATCH_CUT_MS);
        record.line("from now on the store cuts a watch that has waited for " + std::to_string(WATCH_CUT_MS) + " ms");
    }

    // Callers, one request each on a new connection.
    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::map<std::string, std::string> via;
    std::map<int, int> answers;
    std::vector<std::string> lost;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&, caller] {
            while (!isOver) {
                const std::string attempt = "a" + std::to_string(++sent);
                const Gateway &gateway = *gateways[static_cast<std::size_t>(caller % 2)];
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    sentAt[attempt] = nowMs();
                    via[attempt] = gateway.place().name;
                }
                const Answer answer = call(gateway.place().callers, "POST", "/reserve/units",
                    {{"Attempt-Id", attempt}, {"Api-Key", "k-bar"}, {"Deadline-Ms", "2000"}}, "two heaters", 3000);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++answers[answer.status];
                    if (answer.status != 200 && answer.status != 503) {
                        lost.push_back(attempt);
                        record.line(attempt + " via " + via[attempt] + " ends with status " + std::to_string(answer.status));
                    }
                }
                sleepMs(REQUEST_GAP_MS);
            }
        });
    }
    sleepMs(9000);
    Runner &leaving = *runners[0];
    store.remove("servers/" + leaving.id());
    const std::int64_t goneAt = nowMs();
    record.line("the store has confirmed that the entry of " + leaving.id() + " is removed; it goes on serving for " + std::to_string(LINGER_MS) + " ms");
    sleepMs(LINGER_MS);
    // It ends whatever is in work, as a process does.
    for (int look = 0; look < 2000 && leaving.working() == 0; ++look) {
        sleepMs(1);
    }
    const int inWork = leaving.working();
    leaving.end();
    record.line(leaving.id() + " has ended with " + std::to_string(inWork) + " requests in work");
    sleepMs(1500);
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }

    int late = 0;
    std::map<std::string, int> lateVia;
    std::int64_t last = 0;
    for (const RunSeen &run : leaving.seen()) {
        if (run.atMs > goneAt + DRAIN_MS && sentAt[run.attempt] > goneAt + DRAIN_MS) {
            ++late;
            ++lateVia[via[run.attempt]];
            last = run.atMs;
            record.line("run of " + run.attempt + " (sent at " + std::to_string(sentAt[run.attempt]) + " ms via " + via[run.attempt] + ") at " + leaving.id()
                + ", " + std::to_string(run.atMs - goneAt) + " ms after the confirmation");
        }
    }
    for (const auto &answer : answers) {
        record.line("answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    for (const auto &entry : lateVia) {
        record.line("via " + entry.first + ": " + std::to_string(entry.second));
    }
    record.line("watches cut: " + std::to_string(store.watchesCut.load()) + "; requests that reached " + leaving.id() + " over " + std::to_string(DRAIN_MS)
        + " ms after its removal was confirmed: " + std::to_string(late) + ", the last " + std::to_string(late > 0 ? last - goneAt : 0) + " ms after it");
    bool allRan = true;
    for (const auto &gateway : gateways) {
        allRan = allRan && gateway->isRunning();
        gateway->kill();
    }
    for (const auto &runner : runners) {
        runner->end();
    }
    store.stop();
    if (!allRan || answers[200] < 100 || (!isTroubleOff() && store.watchesCut == 0)) {
        record.line("the case could not run");
        return 2;
    }
    record.line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    std::cout << (late > 0 ? "broken" : "held") << ", late " << late << ", lost " << lost.size() << std::endl;
    return late > 0 ? 1 : 0;
}
