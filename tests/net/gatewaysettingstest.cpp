#include "snipeferry/net/gatewaysettings.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

const std::string SETTINGS = R"(instance: a
data_centre: recife-a
region: recife
data_centres: {recife-a: recife}
listen: {callers: "127.0.0.1:1", directory: "127.0.0.1:2", readiness: "127.0.0.1:3", peers: "127.0.0.1:4"}
store: {address: "127.0.0.1:5"}
)";

net::GatewayProcessSettings parse(const std::string &more)
{
    const core::Expected<net::GatewayProcessSettings> settings = net::parseGatewaySettings("test.yaml", SETTINGS + more);
    INFO((settings ? "" : settings.error().message));
    REQUIRE(settings);
    return *settings;
}

} // namespace

TEST_CASE("a reload applies what can change while running and names what cannot")
{
    net::GatewayProcessSettings settings = parse("");
    const net::GatewayProcessSettings fresh
        = parse("log: {lines_per_second: 5}\npromises: {stop_grace: 4s, directory_time_to_live: 1s, key_withdrawal: 2s, repeat_slack: 7}\n");
    const net::SettingsChange change = net::applyReload(settings, fresh);
    CHECK(change.applied == std::vector<std::string>{"log.lines_per_second", "promises.directory_time_to_live", "promises.stop_grace"});
    CHECK(change.kept == std::vector<std::string>{"promises.key_withdrawal", "promises.repeat_slack"});
    CHECK(settings.journal.linesPerSecond == 5);
    CHECK(settings.stopGrace == absl::Seconds(4));
    CHECK(settings.gateway.flow.keyWithdrawalTime == parse("").gateway.flow.keyWithdrawalTime);
    // The same again changes nothing.
    CHECK(net::applyReload(settings, fresh).applied.empty());
}

// Guards against a deployment that gets the weighing unasked, and against a value that is silently not understood.
TEST_CASE("the prompt cache is memory-aware only if the settings say so, from the next start on")
{
    net::GatewayProcessSettings settings = parse("");
    CHECK_FALSE(settings.gateway.isPromptCacheMemoryAware);
    const net::GatewayProcessSettings fresh = parse("prompt_cache: {memory_aware: true}\n");
    CHECK(fresh.gateway.isPromptCacheMemoryAware);
    CHECK(net::applyReload(settings, fresh).kept == std::vector<std::string>{"prompt_cache.memory_aware"});
    const core::Expected<net::GatewayProcessSettings> wrong = net::parseGatewaySettings("test.yaml", SETTINGS + "prompt_cache: {memory_aware: 1, limit: 2}\n");
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().message.find("prompt_cache.memory_aware: found") != std::string::npos);
    CHECK(wrong.error().message.find("prompt_cache.limit: found") != std::string::npos);
}

TEST_CASE("a settings file of the gateway tells all its faults at once")
{
    const core::Expected<net::GatewayProcessSettings> settings
        = net::parseGatewaySettings("test.yaml", SETTINGS + "log: {lines_per_second: -1}\npromises: {repeat_share: -2, stop_grace: soon}\nunknown: 1\n");
    REQUIRE_FALSE(settings);
    for (const char *key : {"log.lines_per_second", "promises.repeat_share", "promises.stop_grace", "unknown"}) {
        INFO(settings.error().message);
        // Each fault once.
        const std::string line = std::string(key) + ": found";
        CHECK(settings.error().message.find(line) != std::string::npos);
        CHECK(settings.error().message.find(line) == settings.error().message.rfind(line));
    }
}

// Guards against late requests that are switched on by default, before their effect has been measured.
TEST_CASE("requests are sent late only if the settings ask for it")
{
    CHECK_FALSE(parse("").gateway.flow.sendsLateRequests);
    CHECK(parse("overload: {late_requests: true}\n").gateway.flow.sendsLateRequests);
}
