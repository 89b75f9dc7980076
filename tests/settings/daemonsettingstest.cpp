#include "snipeferry/settings/daemonsettings.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

constexpr const char VALID_START[] = R"(instance: {id: entry-1, data_centre: recife-1}
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", operations: "127.0.0.1:0", metrics: "127.0.0.1:0"}
platform: {endpoints: ["127.0.0.1:2379"]}
)";

std::string problemOf(const std::string &rest)
{
    const core::Expected<settings::DaemonSettings> settings = settings::parseDaemonSettings("s.yaml", VALID_START + rest);
    return settings.has_value() ? "" : settings.error().message;
}

} // namespace

TEST_CASE("settings are read with their defaults")
{
    const core::Expected<settings::DaemonSettings> settings = settings::parseDaemonSettings("s.yaml",
        std::string(VALID_START)
            + "peers: {insecure: true, seeds: [{id: b, data_centre: c, address: \"127.0.0.1:7\"}]}\ncallers: {max_connections: 9, drain_timeout: 2m}\n");
    REQUIRE(settings.has_value());
    CHECK(settings->node.self.id == core::InstanceId("entry-1"));
    CHECK(settings->monitor.dataCentre == core::DataCentreId("recife-1"));
    CHECK(settings->node.membership.seeds.at(0).peerAddress == "127.0.0.1:7");
    CHECK(settings->callers.server.maxConnections == 9);
    CHECK(settings->callers.server.maxBodyBytes == std::size_t{16} << 20);
    CHECK(settings->drainTimeout == absl::Minutes(2));
}

TEST_CASE("links without TLS are never the result of something forgotten")
{
    CHECK(problemOf("").find("s.yaml:1: peers.certificate: found nothing") != std::string::npos);
    CHECK(problemOf("peers: {certificate: a, private_key: b}\n").find("s.yaml:4: peers.authority: found nothing") != std::string::npos);
    CHECK(problemOf("peers: {insecure: true, authority: a}\n").find("peers.authority: found a file beside insecure: true") != std::string::npos);
    CHECK(problemOf("peers: {certificate: a, private_key: b, authority: c}\n").empty());
}

TEST_CASE("each wrong setting is named with its line")
{
    const std::string problems = problemOf("peers: {insecure: true}\ncallers:\n  max_connections: 0\n  drain_timeout: soon\nqueu: {}\n");
    CHECK(problems.find("s.yaml:6: callers.max_connections: found \"0\", allowed: a whole number from 1 to 10000") != std::string::npos);
    CHECK(problems.find("s.yaml:7: callers.drain_timeout: found \"soon\"") != std::string::npos);
    CHECK(problems.find("s.yaml:8: queu: found an unknown key") != std::string::npos);
}
