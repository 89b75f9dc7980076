#include "snipeferry/http/httpclient.h"

#include <absl/time/clock.h>
#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

/**
 * Latency of the whole path through an instance, beside direct calls of the same backend server, in turns.
 */
using namespace snipeferry;

namespace {

constexpr int OK = 200;
constexpr std::size_t MAX_ANSWER_BYTES = std::size_t{1} << 20;

/** Times of one target's answers, in milliseconds. */
struct Times
{
    std::vector<double> firstByte;
    std::vector<double> whole;
    int failures = 0;
};

double millisecondsSince(absl::Time start)
{
    return absl::ToDoubleMilliseconds(absl::Now() - start);
}

void callOnce(const std::string &address, const std::string &key, const std::string &model, Times &times)
{
    http::ClientRequest request;
    request.address = address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + key}};
    request.body = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"Where is unit 7?\"}]}";
    const absl::Time start = absl::Now();
    int status = 0;
    double firstByte = 0;
    std::size_t bytes = 0;
    http::ClientHandlers handlers;
    handlers.onHead = [&](int code, const core::Headers &) {
        status = code;
        return true;
    };
    handlers.onData = [&](const char *, std::size_t size) {
        firstByte = bytes == 0 ? millisecondsSince(start) : firstByte;
        bytes += size;
        return bytes < MAX_ANSWER_BYTES;
    };
    const http::ClientResult result = http::HttpClient(std::move(request)).run(handlers);
    if (result.outcome != http::ClientOutcome::Whole || status != OK) {
        ++times.failures;
        return;
    }
    times.firstByte.push_back(firstByte);
    times.whole.push_back(millisecondsSince(start));
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void print(const char *name, const Times &times)
{
    std::printf("%-8s %6zu answers %4d failures   first byte p50 %7.2f p99 %7.2f ms   whole p50 %7.2f p99 %7.2f ms\n", name, times.whole.size(), times.failures,
        quantile(times.firstByte, 0.5), quantile(times.firstByte, 0.99), quantile(times.whole, 0.5), quantile(times.whole, 0.99));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("bench-path: latency through an instance beside direct calls");
    std::string direct;
    std::string gateway;
    std::string key;
    std::string model = "planner";
    int calls = 1000;
    int pauseMs = 5;
    app.add_option("--direct", direct, "address of the backend server")->required();
    app.add_option("--gateway", gateway, "address of the instance")->required();
    app.add_option("--key", key, "customer's key")->required();
    app.add_option("--model", model, "model name");
    app.add_option("--calls", calls, "calls of each");
    app.add_option("--pause-ms", pauseMs, "pause between two calls");
    CLI11_PARSE(app, argc, argv);

    Times directTimes;
    Times gatewayTimes;
    for (int i = 0; i < calls; ++i) {
        callOnce(direct, key, model, directTimes);
        callOnce(gateway, key, model, gatewayTimes);
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
    }
    print("direct", directTimes);
    print("gateway", gatewayTimes);
    std::printf("added by the gateway: first byte p50 %.2f ms, p99 %.2f ms; whole p50 %.2f ms, p99 %.2f ms\n",
        quantile(gatewayTimes.firstByte, 0.5) - quantile(directTimes.firstByte, 0.5),
        quantile(gatewayTimes.firstByte, 0.99) - quantile(directTimes.firstByte, 0.99), quantile(gatewayTimes.whole, 0.5) - quantile(directTimes.whole, 0.5),
        quantile(gatewayTimes.whole, 0.99) - quantile(directTimes.whole, 0.99));
    return 0;
}
