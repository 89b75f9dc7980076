#include "standins.h"

/**
 * Two gateways and a service whose roll-out has completed: only runners of the new version are left. The store comes back from a copy that is some seconds
 * old and lacks nothing that matters; later all processes are killed and started again.
 */
namespace {

using namespace review;

constexpr std::int64_t RECOVERY_MS = 12000;
constexpr int DURATION_S = 30;
/** Age of the copy from which the store comes back, and how long it is away. */
constexpr std::int64_t COPY_AGE_MS = 3000;
constexpr std::int64_t AWAY_MS = 500;
constexpr std::int64_t DOWN_MS = 1000;
/** How long requests are counted, from RECOVERY_MS after the processes are back. */
constexpr std::int64_t COUNTED_MS = 12000;
constexpr std::int64_t GAP_MS = 20;
const std::string ZONE = "north-1";

struct Counts
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
};

std::string text(const Counts &counts)
{
    return std::to_string(counts.served) + " of " + std::to_string(counts.asked) + " requests served";
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Folder folder;
    Store store;
    store.nameEra();

    std::atomic<bool> areOldStopped{false};
    const auto answer = [&](Runner &runner, int fd, const RunnerRequest &request) {
        if (runner.version == "v1" && areOldStopped) {
            return false;
        }
        sleepMs(20);
        const std::string body = "ran " + request.attempt();
        return sendAll(fd,
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.attempt() + "\r\nServer-Seal: " + runner.seal()
                + "\r\nRunner-Load: 1,0,8\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (const std::string id : {"i-old-1", "i-old-2", "i-new-1", "i-new-2"}) {
        runners.push_back(std::make_unique<Runner>(store, id, "booking", ZONE, record, answer));
        runners.back()->version = id.find("old") != std::string::npos ? "v1" : "v2";
    }
    const std::string manifest
        = manifestJson(3, Json::array({routeJson("stock", "/stock/", "idempotent", "booking")}), Json::array({serviceJson("booking")})).dump();
    const std::string order = Json{{"service", "booking"}, {"target", "v2"}, {"durationS", DURATION_S}}.dump();
    store.put("op/config", manifest);
    runners[0]->announce();
    runners[1]->announce();

    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Gateway *> all;
    for (const std::string name : {"front-1", "front-2"}) {
        gateways.push_back(std::make_unique<Gateway>(folder.path, name, ZONE, "north", std::map<std::string, std::string>{{ZONE, "north"}}, store.address()));
        all.push_back(gateways.back().get());
    }
    const auto startAll = [&] {
        for (Gateway *gateway : all) {
            gateway->start();
        }
    };
    const auto areReady = [&] {
        return std::all_of(all.begin(), all.end(), [](const Gateway *gateway) { return gateway->waitUntilReady(10000); });
    };
    startAll();
    if (!areReady()) {
        record.note("the gateways are not ready");
        finish(2, folder, all);
    }
    sleepMs(3000);

    std::atomic<bool> isOver{false};
    std::atomic<Counts *> counts{nullptr};
    std::thread clients([&] {
        for (int number = 1; !isOver; ++number) {
            std::thread([&, number, present = counts.load()] {
                const std::string attempt = "c" + std::to_string(300000 + number);
                Client client(all[static_cast<std::size_t>(number) % all.size()]->callers);
                client.send(requestText("GET", "counter.example", "/stock/1", {{"Attempt-Id", attempt}, {"Deadline-Ms", "2000"}}, ""));
                const Reply reply = client.read(3000);
                if (reply.status != 200) {
                    record.note("answer   " + attempt + " " + std::to_string(reply.status) + " " + reply.body.substr(0, 60));
                }
                if (present != nullptr) {
                    ++present->asked;
                    present->served += reply.status == 200 ? 1 : 0;
                }
            }).detach();
            sleepMs(GAP_MS);
        }
    });

    runners[2]->announce();
    runners[3]->announce();
    store.put("op/rollout/booking", order);
    record.note("ordered  booking to v2 within " + std::to_string(DURATION_S) + " s");
    const std::int64_t limit = nowMs() + DURATION_S * 1000 + 3000;
    std::string status;
    while (nowMs() < limit && status != "completed") {
        sleepMs(50);
        const std::optional<std::string> value = store.value("status/rollout/booking");
        const std::string state = value.has_value() ? Json::parse(*value).at("state").get<std::string>() : std::string();
        if (state != status) {
            status = state;
            record.note("status   " + status);
        }
    }
    if (status != "completed") {
        record.note("the roll-out was not completed");
        finish(2, folder, all);
    }
    // On `completed` the old runners stop at once.
    areOldStopped = true;
    store.remove("servers/i-old-1");
    store.remove("servers/i-old-2");
    sleepMs(8000);

    Counts before;
    counts = &before;
    sleepMs(COPY_AGE_MS);
    counts = nullptr;
    sleepMs(1000);
    if (hasTrouble()) {
        store.copy();
        sleepMs(COPY_AGE_MS);
        store.setAway(true);
        record.note("store    away");
        sleepMs(AWAY_MS);
        store.restore();
        record.note("store    back from a copy of " + std::to_string(COPY_AGE_MS) + " ms before");
        // The runners that live write their entries again.
        runners[2]->announce();
        runners[3]->announce();
        if (std::getenv("REWRITE") != nullptr) {
            sleepMs(1000);
            store.put("op/config", manifest);
            store.put("op/rollout/booking", order);
        }
    }
    sleepMs(8000);

    record.note("kill     all processes");
    for (Gateway *gateway : all) {
        gateway->end();
    }
    sleepMs(DOWN_MS);
    startAll();
    const std::int64_t backAt = nowMs();
    record.note("start    all processes");
    sleepMs(RECOVERY_MS);
    Counts after;
    counts = &after;
    sleepMs(COUNTED_MS);
    counts = nullptr;
    isOver = true;
    clients.join();
    sleepMs(3500);

    const std::optional<std::string> last = store.value("status/rollout/booking");
    record.note("before the processes were killed: " + text(before));
    record.note("sent later than " + std::to_string(RECOVERY_MS) + " ms after they were back: " + text(after));
    record.note("status/rollout/booking is now " + last.value_or("missing"));
    record.note("the processes are back for " + std::to_string(nowMs() - backAt) + " ms");
    if (before.served * 4 < before.asked) {
        finish(2, folder, all);
    }
    const bool isBroken = after.served * 4 < after.asked;
    record.note(isBroken ? "RECOVER is broken" : "RECOVER holds");
    finish(isBroken ? 1 : 0, folder, all);
}
