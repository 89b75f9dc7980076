#pragma once

#include "snipeferry/gateway/gateway.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

/** Test doubles for the gateway's decision logic: no sockets, virtual time. */
namespace snipeferry::tests {

/** Codec with short header names for tests. */
class FakeHeaders : public gateway::HeaderCodec
{
public:
    core::RequestId requestId(const gateway::HttpRequest &request) const override
    {
        return core::RequestId(value(request.headers, "id"));
    }

    core::Expected<gateway::CallerRequest> decodeRequest(gateway::HttpRequest request) const override
    {
        gateway::CallerRequest decoded;
        decoded.id = requestId(request);
        decoded.host = "shop.example";
        decoded.keyDigest = value(request.headers, "key");
        decoded.lastEventId = value(request.headers, "last-event");
        decoded.hasTokenCounts = absl::SimpleAtoi(value(request.headers, "tokens"), &decoded.promptTokens);
        for (const absl::string_view part : absl::StrSplit(value(request.headers, "parts"), ',', absl::SkipEmpty())) {
            const std::vector<std::string> pair = absl::StrSplit(part, ':');
            std::int64_t tokens = 0;
            REQUIRE(absl::SimpleAtoi(pair.at(1), &tokens));
            decoded.promptParts.push_back({pair.at(0), tokens});
        }
        decoded.http = std::move(request);
        return decoded;
    }

    void encodeRun(gateway::HttpRequest &request, const gateway::RunHeaders &run) const override
    {
        request.headers.push_back({"server", run.server.value()});
        request.headers.push_back({"customer", run.customer.value()});
        request.headers.push_back({"time-limit", absl::StrCat(absl::ToInt64Milliseconds(run.timeLimit))});
        request.headers.push_back({"resume", run.lastEventId});
        request.headers.push_back({"memory-source", run.memorySource});
    }

    gateway::RunReport decodeAnswer(const gateway::HttpHead &head) const override
    {
        gateway::RunReport report;
        report.isNotRun = !value(head.headers, "not-run").empty();
        report.isWrongServer = head.status == 421;
        report.hasReceipt = !value(head.headers, "receipt").empty();
        double limit = 0;
        if (absl::SimpleAtod(value(head.headers, "limit"), &limit)) {
            report.requestLimit = limit;
        }
        return report;
    }

    gateway::Headers answerHeaders(const core::RequestId & /*request*/, const core::Error & /*error*/) const override
    {
        return {};
    }

    static std::string value(const gateway::Headers &headers, const std::string &name)
    {
        for (const gateway::Header &header : headers) {
            if (header.name == name) {
                return header.value;
            }
        }
        return {};
    }
};

/** Codec whose records are the JSON form of the gateway's types. The key of a backend server's record is its identifier. */
class FakeRecords : public gateway::RecordCodec
{
public:
    core::Expected<gateway::OperatorRecord> decodeOperator(const gateway::RecordChange &change) const override
    {
        gateway::OperatorRecord record;
        if (change.key == "deployment") {
            record.kind = gateway::OperatorRecord::Kind::Deployment;
            if (change.value.has_value()) {
                record.deployment = nlohmann::json::parse(*change.value).get<gateway::Deployment>();
            }
        } else {
            record.kind = gateway::OperatorRecord::Kind::Evacuation;
            record.dataCentre = core::DataCentreId(change.key);
        }
        return record;
    }

    core::Expected<gateway::BackendServer> decodeBackendServer(const std::string & /*key*/, const std::string &value) const override
    {
        const nlohmann::json fields = nlohmann::json::parse(value, nullptr, false);
        if (fields.is_discarded()) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, "not JSON"));
        }
        return fields.get<gateway::BackendServer>();
    }

    core::BackendServerId backendServerOf(const std::string &key) const override
    {
        return core::BackendServerId(key);
    }

    core::Expected<gateway::Member> decodeMember(const std::string &value) const override
    {
        return nlohmann::json::parse(value).get<gateway::Member>();
    }

    std::string encodeMember(const gateway::Member &member) const override
    {
        return nlohmann::json(member).dump();
    }

    std::string memberKey(const core::InstanceId &instance) const override
    {
        return instance.value();
    }

    gateway::Record rolloutStatus(const gateway::RolloutOrder & /*order*/, gateway::RolloutState state) const override
    {
        return {"rollout", nlohmann::json(state).dump(), 0};
    }

    gateway::Record rolloutDecision(const gateway::RolloutOrder & /*order*/, core::Revision /*revision*/, gateway::RolloutState state) const override
    {
        return {"decision", nlohmann::json(state).dump(), 0};
    }

    core::Expected<gateway::RolloutState> decodeDecision(const std::string &value) const override
    {
        return nlohmann::json::parse(value).get<gateway::RolloutState>();
    }

    gateway::Record quarantineRecord(const gateway::QuarantineRecord &record) const override
    {
        return {absl::StrCat("quarantine:", record.key.service.value(), "/", record.key.part), nlohmann::json(record).dump(), 0};
    }

    bool isQuarantineKey(const std::string &key) const override
    {
        return absl::StartsWith(key, "quarantine:");
    }

    core::Expected<gateway::QuarantineRecord> decodeQuarantine(const std::string &value) const override
    {
        return nlohmann::json::parse(value).get<gateway::QuarantineRecord>();
    }
};

/** A request that was sent to a backend server. */
struct SentRun
{
    gateway::Number run = 0;
    core::BackendServerId server;
    gateway::HttpRequest request;
    bool mayReuseConnection = false;
};

class FakeRuns : public gateway::RunTransport
{
public:
    void start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId & /*id*/,
        bool mayReuseConnection) override
    {
        sent.push_back({run, server.id, request, mayReuseConnection});
    }

    void cancel(gateway::Number run) override
    {
        cancelled.push_back(run);
    }

    void setPaused(gateway::Number run, bool isPaused) override
    {
        paused[run] = isPaused;
    }

    std::vector<SentRun> sent;
    std::vector<gateway::Number> cancelled;
    /** Whether the reading of a run was last stopped or continued. */
    std::map<gateway::Number, bool> paused;
};

class FakeLinks : public gateway::FleetLinks
{
public:
    bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override
    {
        sent.emplace_back(to, message);
        return isUp;
    }

    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
    {
        for (const core::InstanceId &instance : to) {
            send(instance, message);
        }
    }

    /** All sent messages of one type, in order. */
    template<typename Message>
    std::vector<Message> all() const
    {
        std::vector<Message> found;
        for (const std::pair<core::InstanceId, gateway::FleetMessage> &entry : sent) {
            if (std::holds_alternative<Message>(entry.second)) {
                found.push_back(std::get<Message>(entry.second));
            }
        }
        return found;
    }

    bool isUp = true;
    std::vector<std::pair<core::InstanceId, gateway::FleetMessage>> sent;
};

class FakeJournal : public gateway::Journal
{
public:
    void log(const core::LogEvent &event) override
    {
        lines.push_back(core::formatLogLine(event));
    }

    void count(const std::string &name, const std::string & /*label*/, double amount) override
    {
        counts[name] += amount;
    }

    void observe(const std::string &name, const std::string & /*label*/, absl::Duration time) override
    {
        times[name].push_back(time);
    }

    std::vector<std::string> lines;
    std::map<std::string, double> counts;
    std::map<std::string, std::vector<absl::Duration>> times;
};

/** What one caller received. */
struct Answer
{
    int status = 0;
    std::string body;
    bool isComplete = false;
    bool isBrokenOff = false;
    /** Number of calls that end an answer; more than one is a fault. */
    int finalCount = 0;
    std::optional<core::Error> error;
    /** Bytes that the caller has not taken, as the test sets it. */
    std::size_t unsentBytes = 0;
};

class FakeSink : public gateway::AnswerSink
{
public:
    explicit FakeSink(std::shared_ptr<Answer> answer)
        : m_answer(std::move(answer))
    {
    }

    void answer(const gateway::HttpHead &head, std::string body) override
    {
        m_answer->status = head.status;
        m_answer->body = std::move(body);
        m_answer->isComplete = true;
        ++m_answer->finalCount;
    }

    void begin(const gateway::HttpHead &head) override
    {
        m_answer->status = head.status;
    }

    void data(std::string data) override
    {
        m_answer->body += data;
    }

    void finish() override
    {
        m_answer->isComplete = true;
        ++m_answer->finalCount;
    }

    void breakOff() override
    {
        m_answer->isBrokenOff = true;
        ++m_answer->finalCount;
    }

    void refuse(const core::Error &error) override
    {
        m_answer->error = error;
        m_answer->status = core::errorAnswer(error.kind).httpStatus;
        ++m_answer->finalCount;
    }

    std::size_t unsentBytes() const override
    {
        return m_answer->unsentBytes;
    }

private:
    std::shared_ptr<Answer> m_answer;
};

/** A gateway in region "north" with test doubles around it. */
struct GatewayFixture
{
    GatewayFixture()
        : gateway(settings(), gateway::GatewayPorts{timers, headers, records, runs, links, journal})
    {
        timers.advance(absl::Seconds(1));
    }

    static gateway::GatewaySettings settings()
    {
        gateway::GatewaySettings settings;
        settings.self = member("gw-1", "north");
        settings.regions = {{core::DataCentreId("north-1"), core::RegionId("north")}, {core::DataCentreId("south-1"), core::RegionId("south")}};
        settings.repeats.slack = 100;
        return settings;
    }

    static gateway::Member member(const std::string &name, const std::string &region)
    {
        return {core::InstanceId(name), 1, core::DataCentreId(region + "-1"), core::RegionId(region), name + ":80", name + ":90"};
    }

    static gateway::Route route(const std::string &prefix)
    {
        gateway::Route route;
        route.name = prefix;
        route.host = "shop.example";
        route.pathPrefix = prefix;
        route.isOpen = true;
        route.timeout = absl::Seconds(10);
        route.services = {{core::ServiceId("booking"), 1}};
        return route;
    }

    /** Open routes: /once/ at most once, /any/ idempotent, /stream/ and /resume/ event streams, /south/ only in region "south". /keyed/ needs a key. */
    static gateway::Deployment deployment(std::int64_t version = 1)
    {
        gateway::Deployment deployment;
        deployment.version = version;
        gateway::Route once = route("/once/");
        gateway::Route any = route("/any/");
        any.repeatRule = gateway::RepeatRule::Idempotent;
        any.maxAttempts = 2;
        gateway::Route stream = route("/stream/");
        stream.isStream = true;
        gateway::Route resume = route("/resume/");
        resume.isStream = true;
        resume.isResumable = true;
        resume.maxAttempts = 2;
        gateway::Route keyed = route("/keyed/");
        keyed.isOpen = false;
        gateway::Route south = route("/south/");
        south.homeRegions = {core::RegionId("south")};
        deployment.routes = {once, any, stream, resume, keyed, south};
        gateway::Service booking;
        booking.id = core::ServiceId("booking");
        booking.coldTime = absl::Seconds(3);
        booking.coldRate = 2;
        deployment.services = {booking};
        gateway::Customer bar;
        bar.id = core::CustomerId("bar");
        bar.keyDigests = {"bar-key"};
        deployment.customers = {bar};
        return deployment;
    }

    static gateway::BackendServer server(const std::string &name)
    {
        gateway::BackendServer server;
        server.id = core::BackendServerId(name);
        server.service = core::ServiceId("booking");
        server.address = "10.0.0.1:80";
        server.dataCentre = core::DataCentreId("north-1");
        server.version = core::VersionId("v1");
        server.slots = 6;
        return server;
    }

    void deploy(const gateway::Deployment &deployment)
    {
        ++revision;
        gateway.topicChanged(gateway::Topic::Operator, {{"deployment", nlohmann::json(deployment).dump(), revision}}, revision, timers.now());
    }

    void announce(const gateway::BackendServer &server)
    {
        ++revision;
        gateway.topicChanged(gateway::Topic::BackendServers, {{server.id.value(), nlohmann::json(server).dump(), revision}}, revision, timers.now());
    }

    void withdraw(const std::string &name)
    {
        ++revision;
        gateway.topicChanged(gateway::Topic::BackendServers, {{name, std::nullopt, revision}}, revision, timers.now());
    }

    void confirm()
    {
        gateway.topicChanged(gateway::Topic::Operator, {}, revision, timers.now());
    }

    /** Reads all topics, applies a deployment and announces two backend servers. */
    void start()
    {
        gateway.topicRead(gateway::Topic::Operator, {}, 0, timers.now());
        gateway.topicRead(gateway::Topic::BackendServers, {}, 0, timers.now());
        gateway.topicRead(gateway::Topic::Members, {}, 0, timers.now());
        deploy(deployment());
        announce(server("s1"));
        announce(server("s2"));
    }

    /** Links an instance that reports a short wait for the service. */
    void linkRemote(const std::string &name, const std::string &region)
    {
        gateway.linkUp(member(name, region));
        gateway::Pulse pulse;
        pulse.sentAt = 1;
        pulse.isReady = true;
        pulse.rooms = {{core::ServiceId("booking"), std::vector<absl::Duration>(gateway::URGENCY_LEVELS, absl::Milliseconds(20))}};
        gateway.received(core::InstanceId(name), pulse);
    }

    /** Sends a caller's request to the gateway. */
    std::shared_ptr<Answer> ask(const std::string &target, const gateway::Headers &extra = {})
    {
        gateway::HttpRequest request{"POST", target, extra, "body"};
        request.headers.push_back({"id", absl::StrCat("r", ++requestCount)});
        std::shared_ptr<Answer> answer = std::make_shared<Answer>();
        lastRequest = gateway.requests().arrived(std::move(request), std::make_shared<FakeSink>(answer));
        return answer;
    }

    SentRun lastRun() const
    {
        REQUIRE_FALSE(runs.sent.empty());
        return runs.sent.back();
    }

    /** Completes the last run with a successful answer. */
    void succeed(const std::string &body)
    {
        const gateway::Number run = lastRun().run;
        gateway.runHead(run, {200, {{"receipt", "x"}}});
        gateway.runData(run, body);
        gateway.runEnd(run, gateway::AnswerEnd::Framed);
    }

    core::VirtualTimerService timers;
    FakeHeaders headers;
    FakeRecords records;
    FakeRuns runs;
    FakeLinks links;
    FakeJournal journal;
    gateway::Gateway gateway;
    core::Revision revision = 0;
    int requestCount = 0;
    gateway::Number lastRequest = 0;
};

} // namespace snipeferry::tests
