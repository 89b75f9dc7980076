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
    root.finish();
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

} // namespace snipeferry::net
