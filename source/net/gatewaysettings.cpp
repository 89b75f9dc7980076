#include "snipeferry/net/gatewaysettings.h"

#include "snipeferry/settings/yamlreader.h"

#include <algorithm>

namespace snipeferry::net {

namespace {

using settings::YamlDocument;
using settings::YamlMap;

constexpr absl::Duration MIN_STORE_WAIT = absl::Milliseconds(100);
/** Longest wait of a call for changes of backend servers, as a fraction of the time in which a leaving one may get requests. */
constexpr double SERVER_WAIT_DRAIN_FRACTION = 1.0 / 3.0;
/** Limits of what a deployment may promise. They only rule out values that cannot be meant, or that arithmetic with times cannot represent. */
constexpr absl::Duration LONGEST = absl::Hours(24 * 365 * 100);
constexpr double MAX_QUANTITY = 1e15;
constexpr double MAX_RATIO = 1e12;
constexpr double MIN_MEMORY_MB = 16.0;
constexpr double MAX_MEMORY_MB = 1 << 20;
constexpr double BYTES_PER_MB = 1e6;
/** Fraction of the memory that one answer of the store may use. Three topics are read at once, and a growing answer takes up to twice its size. */
constexpr double STORE_ANSWER_FRACTION = 1.0 / 30;
constexpr double MIN_CPU_SHARE = 0.001;
constexpr double MAX_CPU_SHARE = 1024.0;

/** Shorter ones cannot be kept; a deployment that states them is served, and its duties are not. */
constexpr absl::Duration MIN_DUTY_TIME = absl::Milliseconds(100);

/** The bounds of the duties, which a deployment may state without having any. */
void readDutyBounds(YamlMap &promises, duties::DutySettings &settings)
{
    settings.callsPerSecond = promises.number("duty_calls_per_second", 0.0, MAX_QUANTITY, settings.callsPerSecond);
    settings.leaseTime = std::max(MIN_DUTY_TIME, promises.duration("duty_lease", absl::ZeroDuration(), LONGEST, settings.leaseTime));
    settings.resumeTime = promises.duration("duty_resume", absl::ZeroDuration(), LONGEST, settings.resumeTime);
    settings.windowLength = std::max(MIN_DUTY_TIME, promises.duration("usage_window", absl::ZeroDuration(), LONGEST, settings.windowLength));
    settings.reportTime = std::max(MIN_DUTY_TIME, promises.duration("usage_report_time", absl::ZeroDuration(), LONGEST, settings.reportTime));
    settings.tolerance = promises.number("usage_tolerance", 0.0, MAX_RATIO, settings.tolerance);
    settings.isFenceRequired = promises.flag("duty_require_fence", settings.isFenceRequired);
}

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

    YamlMap machine = root.map("machine");
    settings.machine.memoryMb = machine.number("memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB, settings.machine.memoryMb);
    settings.machine.cpuShare = machine.number("cpu_share", MIN_CPU_SHARE, MAX_CPU_SHARE, settings.machine.cpuShare);
    machine.finish();
    self.capacity = settings.machine.cpuShare;
    settings.store.maxAnswerBytes = static_cast<std::size_t>(settings.machine.memoryMb * BYTES_PER_MB * STORE_ANSWER_FRACTION);
    settings.backends.doAnswersNameRequests = true;
    settings.gateway.flow.answers = gateway::answerLimitsFor(settings.machine.memoryMb);

    YamlMap promises = root.map("promises");
    gateway::GatewaySettings &gateway = settings.gateway;
    gateway.flow.keyWithdrawalTime = promises.duration("key_withdrawal", absl::ZeroDuration(), LONGEST, gateway.flow.keyWithdrawalTime);
    gateway.serverDrainTime = promises.duration("server_drain", absl::ZeroDuration(), LONGEST, gateway.serverDrainTime);
    gateway.serverReportPeriod = promises.duration("server_report_period", absl::ZeroDuration(), LONGEST, gateway.serverReportPeriod);
    gateway.repeats.share = promises.number("repeat_share", 0.0, MAX_RATIO, gateway.repeats.share);
    gateway.repeats.slack = promises.number("repeat_slack", 0.0, MAX_QUANTITY, 0.0);
    gateway.repeats.window = promises.duration("repeat_window", absl::ZeroDuration(), LONGEST, gateway.repeats.window);
    gateway.allowances.slack = promises.number("allowance_slack", 0.0, MAX_QUANTITY, 0.0);
    gateway.allowances.excess = promises.number("allowance_excess", 0.0, MAX_RATIO, 0.0);
    gateway.rollouts.exposureShare = promises.number("exposure_share", 0.0, 1.0, gateway.rollouts.exposureShare);
    gateway.rollouts.exposureSlack = promises.number("exposure_slack", 0.0, MAX_QUANTITY, gateway.rollouts.exposureSlack);
    gateway.rollouts.judgingTime = promises.duration("rollback", absl::ZeroDuration(), LONGEST, gateway.rollouts.judgingTime);
    gateway.cold.excess = promises.number("cold_excess", 0.0, MAX_RATIO, gateway.cold.excess);
    gateway.cold.slack = promises.number("cold_slack", 0.0, MAX_QUANTITY, gateway.cold.slack);
    settings.directoryTimeToLive = promises.duration("directory_time_to_live", absl::ZeroDuration(), LONGEST, settings.directoryTimeToLive);
    settings.stopGrace = promises.duration("stop_grace", absl::ZeroDuration(), LONGEST, settings.stopGrace);
    readDutyBounds(promises, gateway.duties);
    promises.finish();

    YamlMap promptCache = root.map("prompt_cache");
    gateway.isPromptCacheMemoryAware = promptCache.flag("memory_aware", gateway.isPromptCacheMemoryAware);
    promptCache.finish();

    YamlMap store = root.map("store");
    settings.store.address = store.address("address");
    settings.store.leaseTime = store.duration("lease_time", absl::Seconds(1), absl::Minutes(10), settings.store.leaseTime);
    gateway.announcementLifetime = settings.store.leaseTime;
    settings.store.renewPeriod = store.duration("renew_period", absl::Milliseconds(100), absl::Minutes(5), settings.store.renewPeriod);
    settings.store.operatorWait = store.duration("operator_wait", MIN_STORE_WAIT, absl::Seconds(30), settings.store.operatorWait);
    // A confirmation is at most as old as the wait, and news of a leaving backend server have to be known well within its drain time.
    const absl::Duration serverWait = std::clamp(gateway.serverDrainTime * SERVER_WAIT_DRAIN_FRACTION, MIN_STORE_WAIT, settings.store.backendServerWait);
    settings.store.backendServerWait = store.duration("backend_server_wait", MIN_STORE_WAIT, absl::Seconds(30), serverWait);
    settings.store.memberWait = store.duration("member_wait", MIN_STORE_WAIT, absl::Seconds(30), settings.store.memberWait);
    store.finish();

    if (root.has("duties")) {
        YamlMap duties = root.map("duties");
        gateway.duties.address = duties.address("address");
        gateway.duties.duties = duties.texts("list");
        duties.finish();
    }
    YamlMap overload = root.map("overload");
    gateway.flow.sendsLateRequests = overload.flag("late_requests", gateway.flow.sendsLateRequests);
    overload.finish();

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
        {"duties", before.duties == after.duties},
        {"promises.key_withdrawal", before.flow.keyWithdrawalTime == after.flow.keyWithdrawalTime},
        {"machine.memory_mb", settings.machine.memoryMb == fresh.machine.memoryMb},
        {"machine.cpu_share", settings.machine.cpuShare == fresh.machine.cpuShare},
        {"promises.server_drain", before.serverDrainTime == after.serverDrainTime},
        {"promises.server_report_period", before.serverReportPeriod == after.serverReportPeriod},
        {"promises.repeat_share", before.repeats.share == after.repeats.share},
        {"promises.repeat_slack", before.repeats.slack == after.repeats.slack},
        {"promises.repeat_window", before.repeats.window == after.repeats.window},
        {"promises.allowance_slack", before.allowances.slack == after.allowances.slack},
        {"promises.exposure_share", before.rollouts.exposureShare == after.rollouts.exposureShare},
        {"promises.exposure_slack", before.rollouts.exposureSlack == after.rollouts.exposureSlack},
        {"promises.rollback", before.rollouts.judgingTime == after.rollouts.judgingTime},
        {"promises.cold_excess", before.cold.excess == after.cold.excess},
        {"promises.cold_slack", before.cold.slack == after.cold.slack},
        {"prompt_cache.memory_aware", before.isPromptCacheMemoryAware == after.isPromptCacheMemoryAware},
        {"promises.allowance_excess", before.allowances.excess == after.allowances.excess},
        {"overload.late_requests", before.flow.sendsLateRequests == after.flow.sendsLateRequests},
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
