#include "platform.h"

#include <iostream>

/**
 * A manifest takes a key away. The store is then away for a moment and comes back from a copy some seconds old, without that manifest; the operator writes it
 * again two seconds later. One gateway of a rolling restart is started meanwhile. Requests with the key that are sent later than revokeMs after the first
 * confirmation must not run.
 */
using namespace review;

namespace {

constexpr std::int64_t REVOKE_MS = 5000;
/** The store leaves so long after it has confirmed the manifest, stays away so long, and its copy is older than the manifest by so much. */
constexpr std::int64_t LEAVES_AFTER_MS = 800;
constexpr std::int64_t AWAY_MS = 4000;
constexpr std::int64_t COPY_OLDER_MS = 1000;
/** When the operator and the runners write again, after the return. */
constexpr std::int64_t REWRITE_MS = 2000;
/** When the gateway is started, after the return. */
constexpr std::int64_t START_MS = 1000;

std::string manifest(int version, bool hasKey)
{
    const Json route = {{"name", "reserve"}, {"host", "shop.example"}, {"prefix", "/reserve/"}, {"kind", "non_idempotent"}, {"timeoutMs", 2000},
        {"targetLatencyMs", 300}, {"priority", 1}, {"service", "booking"}, {"maxAttempts", 1}, {"public", false}};
    const Json service = {{"name", "booking"}, {"healthPath", "/health"}, {"maxConns", 110}};
    const Json keys = hasKey ? Json{"k-bar", "k-old"} : Json{"k-bar"};
    const Json tenant = {{"name", "bar"}, {"apiKeys", keys}, {"priority", 1}};
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{{"version", version}, {"routes", {route}}, {"services", {service}}, {"tenants", {tenant}}, {"limits", limits}}.dump();
}

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = newFolder();
    const std::map<std::string, std::string> zones = {{"recife-a", "recife"}};
    Store store;
    store.put("op/config", manifest(3, true));
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char *id : {"i-one", "i-two", "i-three"}) {
        runners.push_back(std::make_unique<Runner>(id, "booking", "recife-a", 6, 20));
        store.put(std::string("servers/") + id, runners.back()->entry("ready"));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"front-1", "front-2", "front-3"}) {
        gateways.push_back(std::make_unique<Gateway>(freePlace(name, "recife-a", "recife"), folder, store.address(), zones));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(15000)) {
            record.line(gateway->place().name + " does not get ready");
            return 2;
        }
    }
    record.line("all gateways are ready");
    sleepMs(6000);

    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::map<std::string, std::string> via;
    std::map<std::string, int> statusOf;
    std::map<int, int> answers;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            const bool isOld = caller < 3;
            while (!isOver) {
                const Gateway &gateway = *gateways[static_cast<std::size_t>(caller % 3)];
                const std::string attempt = (isOld ? "old" : "new") + std::to_string(++sent);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    sentAt[attempt] = nowMs();
                    via[attempt] = gateway.place().name;
                }
                const Answer answer = call(gateway.place().callers, "POST", "/reserve/units",
                    {{"Attempt-Id", attempt}, {"Api-Key", isOld ? "k-old" : "k-bar"}, {"Deadline-Ms", "2000"}}, "two heaters", 3000);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    statusOf[attempt] = answer.status;
                    answers[answer.status] += isOld ? 0 : 1;
                }
                sleepMs(50);
            }
        });
    }
    // A rolling restart has come to the last gateway.
    Gateway &restarted = *gateways.back();
    record.line(restarted.place().name + " gets SIGTERM");
    restarted.terminate();
    const std::int64_t copiedAt = nowMs();
    record.line(restarted.place().name + " has ended; the store's copy is of this moment");
    sleepMs(COPY_OLDER_MS);
    store.put("op/config", manifest(4, false));
    const std::int64_t confirmedAt = nowMs();
    record.line("the store has confirmed version 4, which takes the key away");
    sleepMs(LEAVES_AFTER_MS);
    if (!isTroubleOff()) {
        store.leave();
        record.line("the store is away");
    }
    sleepMs(AWAY_MS);
    if (!isTroubleOff()) {
        store.comeBackAsOf(copiedAt);
        record.line("the store is back, from the copy");
    }
    sleepMs(START_MS);
    restarted.start();
    record.line(restarted.place().name + " is started");
    sleepMs(REWRITE_MS - START_MS);
    if (!isTroubleOff()) {
        store.put("op/config", manifest(4, false));
        for (const auto &runner : runners) {
            store.put("servers/" + runner->id(), runner->entry("ready"));
        }
        record.line("the operator and the runners have written again");
    }
    sleepMs(4000);
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }

    int late = 0;
    std::int64_t last = 0;
    for (const auto &runner : runners) {
        for (const RunSeen &run : runner->seen()) {
            if (run.attempt.rfind("old", 0) == 0 && sentAt[run.attempt] > confirmedAt + REVOKE_MS) {
                ++late;
                last = std::max(last, sentAt[run.attempt]);
                record.line(run.attempt + " with the key, sent " + std::to_string(sentAt[run.attempt] - confirmedAt) + " ms after the confirmation via "
                    + via[run.attempt] + ", runs at " + runner->id() + "; status " + std::to_string(statusOf[run.attempt]));
            }
        }
    }
    for (const auto &answer : answers) {
        record.line("requests with the other key, answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    record.line(
        "requests with the key that ran though they were sent later than " + std::to_string(REVOKE_MS) + " ms after the confirmation: " + std::to_string(late));
    bool allRan = true;
    for (const auto &gateway : gateways) {
        allRan = allRan && gateway->isRunning();
        gateway->kill();
    }
    for (const auto &runner : runners) {
        runner->end();
    }
    store.stop();
    if (!allRan || answers[200] < 100) {
        record.line("the case could not run");
        return 2;
    }
    record.line(late > 0 ? "CONFIG is broken" : "CONFIG holds");
    std::cout << (late > 0 ? "broken" : "held") << ", late " << late << std::endl;
    return late > 0 ? 1 : 0;
}
