#include "platform.h"

#include <iostream>

/**
 * Gateways are restarted in turn while runners leave and come. A gateway that starts reads the runners in pages with allowStale: the first page is some seconds
 * old, the second is not. Afterwards requests may reach a runner that has left for drainMs at most.
 */
using namespace review;

namespace {

constexpr std::int64_t DRAIN_MS = 3000;
constexpr std::int64_t CONTACT_MS = 5000;
constexpr int STALE_MS = 3000;
constexpr std::int64_t LINGER_MS = 20000;
constexpr std::int64_t REQUEST_GAP_MS = 160;
constexpr int CALLERS = 16;
constexpr int OTHER_RUNNERS = 60;
constexpr std::size_t PAGE_ITEMS = 50;

std::string manifest()
{
    const Json route = {{"name", "reserve"}, {"host", "shop.example"}, {"prefix", "/reserve/"}, {"kind", "non_idempotent"}, {"timeoutMs", 2000},
        {"targetLatencyMs", 300}, {"priority", 1}, {"service", "booking"}, {"maxAttempts", 1}, {"public", false}};
    const Json services
        = {{{"name", "booking"}, {"healthPath", "/health"}, {"maxConns", 110}}, {{"name", "stock"}, {"healthPath", "/health"}, {"maxConns", 110}}};
    const Json tenant = {{"name", "bar"}, {"apiKeys", {"k-bar"}}, {"priority", 1}};
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{{"version", 3}, {"routes", {route}}, {"services", services}, {"tenants", {tenant}}, {"limits", limits}}.dump();
}

} // namespace

int main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = newFolder();
    const std::map<std::string, std::string> zones = {{"recife-a", "recife"}, {"salvador-a", "salvador"}};
    Store store;
    store.setPageItems(PAGE_ITEMS);
    store.put("op/config", manifest());
    // Runners of another region, to which these gateways send nothing. With them the list has two pages.
    for (int i = 0; i < OTHER_RUNNERS; ++i) {
        const std::string id = "i-" + std::to_string(1000 + i);
        store.put("servers/" + id,
            Json{{"service", "stock"}, {"address", "127.0.0.9:" + std::to_string(20000 + i)}, {"zone", "salvador-a"}, {"version", "v1"}, {"slots", 6},
                {"state", "ready"}, {"coldLeftMs", 0}, {"callSeq", 0}, {"born", 1790000000000 + i}}
                .dump());
    }
    std::map<std::string, std::unique_ptr<Runner>> runners;
    const auto add = [&](const std::string &id) {
        runners[id] = std::make_unique<Runner>(id, "booking", "recife-a", 6, 60);
        store.put("servers/" + id, runners[id]->entry("ready"));
    };
    for (const char *id : {"a-one", "b-one", "z-one"}) {
        add(id);
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
    sleepMs(4000);
    if (!isTroubleOff()) {
        store.setStaleness([](int page) { return page == 0 ? STALE_MS : 0; });
        record.line("from now on the first page of a read with allowStale is " + std::to_string(STALE_MS) + " ms old, later pages are not");
    }

    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::map<std::string, std::size_t> via;
    std::map<int, int> answers;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&, caller] {
            while (!isOver) {
                const std::size_t number = static_cast<std::size_t>(caller % 2);
                const std::string attempt = "a" + std::to_string(++sent);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    sentAt[attempt] = nowMs();
                    via[attempt] = number;
                }
                const Answer answer = call(gateways[number]->place().callers, "POST", "/reserve/units",
                    {{"Attempt-Id", attempt}, {"Api-Key", "k-bar"}, {"Deadline-Ms", "2000"}}, "two heaters", 3000);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++answers[answer.status];
                    if (answer.status == 502 || answer.status == 504) {
                        record.line(attempt + " via " + gateways[number]->place().name + " ends with status " + std::to_string(answer.status));
                    }
                }
                sleepMs(REQUEST_GAP_MS);
            }
        });
    }

    const auto endCallers = [&] {
        isOver = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    };

    // A rolling restart; before each start a runner leaves without a report, and another one comes.
    const std::vector<std::string> leaving = {"a-one", "b-one"};
    const std::vector<std::string> coming = {"z-two", "z-three"};
    std::vector<std::int64_t> goneAt;
    std::vector<std::int64_t> inTouchAt;
    for (std::size_t number = 0; number < gateways.size(); ++number) {
        Gateway &gateway = *gateways[number];
        record.line(gateway.place().name + " gets SIGTERM");
        gateway.terminate();
        store.remove("servers/" + leaving[number]);
        goneAt.push_back(nowMs());
        record.line(
            "the store has confirmed that the entry of " + leaving[number] + " is removed; it goes on serving for " + std::to_string(LINGER_MS) + " ms");
        sleepMs(300);
        add(coming[number]);
        sleepMs(700);
        gateway.start();
        record.line(gateway.place().name + " is started");
        inTouchAt.push_back(nowMs() + CONTACT_MS);
        if (!gateway.awaitReady(15000)) {
            record.line(gateway.place().name + " does not get ready");
            endCallers();
            return 2;
        }
        record.line(gateway.place().name + " is ready");
        sleepMs(goneAt.back() + LINGER_MS - nowMs());
        runners[leaving[number]]->end();
        record.line(leaving[number] + " has ended with " + std::to_string(runners[leaving[number]]->working()) + " requests in work");
    }
    sleepMs(2500);
    endCallers();

    int late = 0;
    for (std::size_t number = 0; number < gateways.size(); ++number) {
        int lateHere = 0;
        for (const RunSeen &run : runners[leaving[number]]->seen()) {
            const std::size_t gateway = via[run.attempt];
            const std::int64_t touch = gateway == number ? inTouchAt[number] : 0;
            if (sentAt[run.attempt] > goneAt[number] + DRAIN_MS && sentAt[run.attempt] > touch) {
                ++lateHere;
                record.line("run of " + run.attempt + " (sent at " + std::to_string(sentAt[run.attempt]) + " ms via " + gateways[gateway]->place().name
                    + ") at " + leaving[number] + ", " + std::to_string(run.atMs - goneAt[number]) + " ms after the confirmation");
            }
        }
        record.line("requests from gateways in touch that reached " + leaving[number] + " over " + std::to_string(DRAIN_MS)
            + " ms after its removal was confirmed: " + std::to_string(lateHere));
        late += lateHere;
    }
    for (const auto &answer : answers) {
        record.line("answers with status " + std::to_string(answer.first) + ": " + std::to_string(answer.second));
    }
    record.line("old pages read: " + std::to_string(store.staleReads.load()));
    bool allRan = true;
    for (const auto &gateway : gateways) {
        allRan = allRan && gateway->isRunning();
        gateway->kill();
    }
    for (const auto &runner : runners) {
        runner.second->end();
    }
    store.stop();
    if (!allRan || answers[200] < 100 || (!isTroubleOff() && store.staleReads == 0)) {
        record.line("the case could not run");
        return 2;
    }
    record.line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    std::cout << (late > 0 ? "broken" : "held") << ", late " << late << std::endl;
    return late > 0 ? 1 : 0;
}
