#pragma once

#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/records.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

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
        request.headers.push_back({"rank", absl::StrCat(run.priority)});
        request.headers.push_back({"resume", run.lastEventId});
        request.headers.push_back({"memory-source", run.memorySource});
    }

    gateway::HttpRequest stateQuestion(const core::BackendServerId &server, const std::string &path) const override
    {
        return {"GET", path, {{"server", server.value()}}, ""};
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
        report.isLeaving = !value(head.headers, "leaving").empty();
        double brittleRate = 0;
        const std::string brittle = value(head.headers, "brittle");
        if (absl::SimpleAtod(brittle, &brittleRate)) {
            report.brittleRate = brittleRate;
        }
        report.isBrittleRateUnreadable = !brittle.empty() && !report.brittleRate.has_value();
        double coldMs = 0;
        const std::string cold = value(head.headers, "cold");
        if (absl::SimpleAtod(cold, &coldMs)) {
            report.coldLeft = absl::Milliseconds(coldMs);
        }
        report.isColdTimeUnreadable = !cold.empty() && !report.coldLeft.has_value();
        double pause = 0;
        if (absl::SimpleAtod(value(head.headers, "pause"), &pause)) {
            report.pauseSeconds = pause;
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
        } else if (absl::StartsWith(change.key, "order:")) {
            record.kind = gateway::OperatorRecord::Kind::Rollout;
            record.service = core::ServiceId(change.key.substr(change.key.find(':') + 1));
            if (change.value.has_value()) {
                record.rollout = nlohmann::json::parse(*change.value).get<gateway::RolloutOrder>();
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

    gateway::Record rolloutNotice(const gateway::RolloutNotice &notice) const override
    {
        return {absl::StrCat("rollout:", notice.service.value()), nlohmann::json(notice).dump(), 0};
    }

    bool isRolloutNoticeKey(const std::string &key) const override
    {
        return absl::StartsWith(key, "rollout:");
    }

    core::Expected<gateway::RolloutNotice> decodeRolloutNotice(const std::string &value) const override
    {
        return nlohmann::json::parse(value).get<gateway::RolloutNotice>();
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

} // namespace snipeferry::tests
