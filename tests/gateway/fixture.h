#pragma once

#include "fakecodecs.h"
#include "fakeports.h"
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

/** A gateway in region "north" with test doubles around it. */
struct GatewayFixture
{
    explicit GatewayFixture(const gateway::GatewaySettings &settings = GatewayFixture::settings())
        : gateway(settings, gateway::GatewayPorts{timers, headers, records, runs, links, journal})
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
        booking.healthPath = "/health";
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
        const gateway::Member self = settings().self;
        gateway.topicRead(gateway::Topic::Members, {{self.id.value(), nlohmann::json(self).dump(), 0}}, 0, timers.now());
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
