#include "snipeferry/settings/daemonsettings.h"

#include "snipeferry/settings/yamlreader.h"

#include <limits>

namespace snipeferry::settings {

namespace {

constexpr std::int64_t MIB = std::int64_t{1} << 20;
/** Largest value of settings that are counts, such as max_connections. */
constexpr std::int64_t MAX_COUNT = 10'000;
constexpr std::int64_t MAX_MIB = 65'536;
/** Range of the durations in the file. */
constexpr absl::Duration MIN_DURATION = absl::Milliseconds(10);
constexpr absl::Duration MAX_DURATION = absl::Hours(24);

std::size_t readCount(YamlMap &map, const std::string &key, std::size_t defaultValue)
{
    return static_cast<std::size_t>(map.integer(key, 1, MAX_COUNT, static_cast<std::int64_t>(defaultValue)));
}

std::size_t readMebibytes(YamlMap &map, const std::string &key, std::size_t defaultBytes)
{
    return static_cast<std::size_t>(map.integer(key, 1, MAX_MIB, static_cast<std::int64_t>(defaultBytes) / MIB) * MIB);
}

absl::Duration readDuration(YamlMap &map, const std::string &key, absl::Duration defaultValue)
{
    return map.duration(key, MIN_DURATION, MAX_DURATION, defaultValue);
}

void readInstance(YamlMap map, DaemonSettings &settings)
{
    settings.node.self.id = core::InstanceId(map.text("id"));
    settings.node.self.dataCentre = core::DataCentreId(map.text("data_centre"));
    settings.node.seed = static_cast<std::uint64_t>(map.integer("seed", 0, std::numeric_limits<std::int64_t>::max(), 0));
    settings.monitor.dataCentre = settings.node.self.dataCentre;
    map.finish();
}

void readListen(YamlMap map, DaemonSettings &settings)
{
    settings.callers.server.listenAddress = map.address("callers");
    settings.peers.listenAddress = map.address("peers");
    settings.operationsAddress = map.address("operations");
    settings.metricsAddress = map.address("metrics");
    map.finish();
}

void readPlatform(YamlMap map, DaemonSettings &settings)
{
    settings.platform.endpoints = map.addresses("endpoints");
    if (settings.platform.endpoints.empty()) {
        map.problem("endpoints", "no address", "at least one IP number and port such as 127.0.0.1:2379");
    }
    settings.platform.connectTimeout = readDuration(map, "connect_timeout", settings.platform.connectTimeout);
    settings.platform.watchTimeout = readDuration(map, "watch_timeout", settings.platform.watchTimeout);
    map.finish();
}

void readPeers(YamlMap map, DaemonSettings &settings)
{
    // Links without TLS need an explicit "insecure: true", so that a forgotten key file never leads to unencrypted links.
    if (map.flag("insecure", false)) {
        for (const char *key : {"certificate", "private_key", "authority"}) {
            if (map.has(key)) {
                map.problem(key, "a file beside insecure: true", "either the three files or insecure: true");
            }
        }
    } else {
        settings.peers.certificateFile = map.text("certificate");
        settings.peers.privateKeyFile = map.text("private_key");
        settings.peers.authorityFile = map.text("authority");
    }
    for (YamlMap &seed : map.maps("seeds")) {
        membership::InstanceDescription description;
        description.id = core::InstanceId(seed.text("id"));
        description.dataCentre = core::DataCentreId(seed.text("data_centre"));
        description.peerAddress = seed.address("address");
        settings.node.membership.seeds.push_back(description);
        seed.finish();
    }
    settings.node.membership.heartbeatInterval = readDuration(map, "heartbeat_interval", settings.node.membership.heartbeatInterval);
    settings.node.membership.suspectAfter = readDuration(map, "suspect_after", settings.node.membership.suspectAfter);
    settings.node.membership.removeAfter = readDuration(map, "remove_after", settings.node.membership.removeAfter);
    map.finish();
}

void readCallers(YamlMap map, DaemonSettings &settings)
{
    http::ListenSettings &server = settings.callers.server;
    server.maxConnections = readCount(map, "max_connections", server.maxConnections);
    server.maxBodyBytes = readMebibytes(map, "max_body_mib", server.maxBodyBytes);
    server.maxBufferedBytes = readMebibytes(map, "max_buffered_mib", server.maxBufferedBytes);
    server.requestTimeout = readDuration(map, "request_timeout", server.requestTimeout);
    server.writeTimeout = readDuration(map, "write_timeout", server.writeTimeout);
    server.keepAliveTimeout = readDuration(map, "keep_alive_timeout", server.keepAliveTimeout);
    settings.callers.entriesTimeToLive = map.duration("entries_time_to_live", absl::Seconds(1), MAX_DURATION, settings.callers.entriesTimeToLive);
    server.slowReaderBytes = readMebibytes(map, "slow_reader_mib", server.slowReaderBytes);
    settings.drainTimeout = readDuration(map, "drain_timeout", settings.drainTimeout);
    map.finish();
}

void readBackends(YamlMap map, DaemonSettings &settings)
{
    settings.backends.maxAttempts = readCount(map, "max_attempts", settings.backends.maxAttempts);
    settings.backends.connectTimeout = readDuration(map, "connect_timeout", settings.backends.connectTimeout);
    settings.backends.silenceTimeout = readDuration(map, "silence_timeout", settings.backends.silenceTimeout);
    settings.monitor.interval = readDuration(map, "report_interval", settings.monitor.interval);
    map.finish();
}

void readQueue(YamlMap map, DaemonSettings &settings)
{
    settings.node.queue.maxRequests = readCount(map, "max_requests", settings.node.queue.maxRequests);
    settings.node.queue.maxRequestsPerCustomer = readCount(map, "max_requests_per_customer", settings.node.queue.maxRequestsPerCustomer);
    settings.node.limitPatience = readDuration(map, "limit_patience", settings.node.limitPatience);
    map.finish();
}

core::Expected<DaemonSettings> readSettings(core::Expected<YamlDocument> document)
{
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    DaemonSettings settings;
    YamlMap &root = document->root();
    readInstance(root.map("instance"), settings);
    readListen(root.map("listen"), settings);
    readPlatform(root.map("platform"), settings);
    readPeers(root.map("peers"), settings);
    readCallers(root.map("callers"), settings);
    readBackends(root.map("backend_servers"), settings);
    readQueue(root.map("queue"), settings);
    settings.journalLines = static_cast<std::size_t>(root.integer("explain_lines", 0, 1'000'000, static_cast<std::int64_t>(settings.journalLines)));
    const core::Expected<void> result = document->result();
    if (!result.has_value()) {
        return tl::make_unexpected(result.error());
    }
    return settings;
}

} // namespace

core::Expected<DaemonSettings> loadDaemonSettings(const std::string &file)
{
    return readSettings(YamlDocument::load(file));
}

core::Expected<DaemonSettings> parseDaemonSettings(const std::string &file, const std::string &text)
{
    return readSettings(YamlDocument::parse(file, text));
}

} // namespace snipeferry::settings
