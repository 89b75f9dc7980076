#include "snipeferry/net/gatewaysettings.h"

#include "snipeferry/settings/yamlreader.h"

namespace snipeferry::net {

namespace {

using settings::YamlDocument;
using settings::YamlMap;

constexpr absl::Duration SHORTEST = absl::Milliseconds(1);
constexpr absl::Duration LONGEST = absl::Hours(1);
constexpr std::int64_t MAX_SLACK = 1'000'000'000;

core::Expected<GatewayProcessSettings> read(YamlDocument &document)
{
    GatewayProcessSettings settings;
    YamlMap &root = document.root();
    gateway::Member &self = settings.gateway.self;
    self.id = core::InstanceId(root.text("instance"));
    self.dataCentre = core::DataCentreId(root.text("data_centre"));
    self.region = core::RegionId(root.text("region"));

    YamlMap dataCentres = root.map("data_centres");
    for (const std::string &name : dataCentres.keys()) {
        settings.gateway.regions[core::DataCentreId(name)] = core::RegionId(dataCentres.text(name));
    }
    if (settings.gateway.regions.count(self.dataCentre) == 0) {
        root.problem("data_centres", "no entry for " + self.dataCentre.value(), "the region of each data centre, this one included");
    }
    dataCentres.finish();

    YamlMap listen = root.map("listen");
    self.callerAddress = listen.address("callers");
    settings.directoryAddress = listen.address("directory");
    settings.readinessAddress = listen.address("readiness");
    self.peerAddress = listen.address("peers");
    settings.metricsAddress = listen.address("metrics", "");
    listen.finish();

    YamlMap store = root.map("store");
    settings.store.address = store.address("address");
    settings.store.leaseTime = store.duration("lease_time", absl::Seconds(1), absl::Minutes(10), settings.store.leaseTime);
    settings.store.renewPeriod = store.duration("renew_period", absl::Milliseconds(100), absl::Minutes(5), settings.store.renewPeriod);
    settings.store.operatorWait = store.duration("operator_wait", absl::Milliseconds(100), absl::Seconds(30), settings.store.operatorWait);
    settings.store.backendServerWait = store.duration("backend_server_wait", absl::Milliseconds(100), absl::Seconds(30), settings.store.backendServerWait);
    settings.store.memberWait = store.duration("member_wait", absl::Milliseconds(100), absl::Seconds(30), settings.store.memberWait);
    store.finish();

    YamlMap promises = root.map("promises");
    settings.gateway.flow.keyWithdrawalTime = promises.duration("key_withdrawal", absl::Milliseconds(500), LONGEST, settings.gateway.flow.keyWithdrawalTime);
    settings.gateway.repeats.share = promises.fraction("repeat_share", 0.0, 1.0, settings.gateway.repeats.share);
    settings.gateway.repeats.slack = static_cast<double>(promises.integer("repeat_slack", 0, MAX_SLACK, 0));
    settings.gateway.repeats.window = promises.duration("repeat_window", SHORTEST, LONGEST, settings.gateway.repeats.window);
    settings.gateway.allowances.slack = static_cast<double>(promises.integer("allowance_slack", 0, MAX_SLACK, 0));
    settings.gateway.allowances.excess = promises.fraction("allowance_excess", 0.0, 1.0, 0.0);
    settings.directoryTimeToLive = promises.duration("directory_time_to_live", SHORTEST, LONGEST, settings.directoryTimeToLive);
    settings.stopGrace = promises.duration("stop_grace", SHORTEST, LONGEST, settings.stopGrace);
    promises.finish();

    YamlMap log = root.map("log");
    settings.journal.linesPerSecond = static_cast<int>(log.integer("lines_per_second", 0, 100000, settings.journal.linesPerSecond));
    log.finish();
    const core::Expected<void> result = document.result();
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    return settings;
}

} // namespace

core::Expected<GatewayProcessSettings> loadGatewaySettings(const std::string &file)
{
    core::Expected<YamlDocument> document = YamlDocument::load(file);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    return read(*document);
}

core::Expected<GatewayProcessSettings> parseGatewaySettings(const std::string &file, const std::string &text)
{
    core::Expected<YamlDocument> document = YamlDocument::parse(file, text);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    return read(*document);
}

SettingsChange applyReload(GatewayProcessSettings &settings, const GatewayProcessSettings &fresh)
{
    const gateway::GatewaySettings &before = settings.gateway;
    const gateway::GatewaySettings &after = fresh.gateway;
    const std::pair<const char *, bool> fixed[] = {
        {"instance", before.self.id == after.self.id},
        {"data_centre", before.self.dataCentre == after.self.dataCentre},
        {"region", before.self.region == after.self.region},
        {"data_centres", before.regions == after.regions},
        {"listen.callers", before.self.callerAddress == after.self.callerAddress},
        {"listen.directory", settings.directoryAddress == fresh.directoryAddress},
        {"listen.readiness", settings.readinessAddress == fresh.readinessAddress},
        {"listen.peers", before.self.peerAddress == after.self.peerAddress},
        {"listen.metrics", settings.metricsAddress == fresh.metricsAddress},
        {"store.address", settings.store.address == fresh.store.address},
        {"store.lease_time", settings.store.leaseTime == fresh.store.leaseTime},
        {"store.renew_period", settings.store.renewPeriod == fresh.store.renewPeriod},
        {"store.operator_wait", settings.store.operatorWait == fresh.store.operatorWait},
        {"store.backend_server_wait", settings.store.backendServerWait == fresh.store.backendServerWait},
        {"store.member_wait", settings.store.memberWait == fresh.store.memberWait},
        {"promises.key_withdrawal", before.flow.keyWithdrawalTime == after.flow.keyWithdrawalTime},
        {"promises.repeat_share", before.repeats.share == after.repeats.share},
        {"promises.repeat_slack", before.repeats.slack == after.repeats.slack},
        {"promises.repeat_window", before.repeats.window == after.repeats.window},
        {"promises.allowance_slack", before.allowances.slack == after.allowances.slack},
        {"promises.allowance_excess", before.allowances.excess == after.allowances.excess},
    };
    SettingsChange change;
    for (const std::pair<const char *, bool> &setting : fixed) {
        if (!setting.second) {
            change.kept.emplace_back(setting.first);
        }
    }
    const auto take = [&change](const char *key, auto &current, const auto &wanted) {
        if (current != wanted) {
            change.applied.emplace_back(key);
            current = wanted;
        }
    };
    take("log.lines_per_second", settings.journal.linesPerSecond, fresh.journal.linesPerSecond);
    take("promises.directory_time_to_live", settings.directoryTimeToLive, fresh.directoryTimeToLive);
    take("promises.stop_grace", settings.stopGrace, fresh.stopGrace);
    return change;
}

} // namespace snipeferry::net
