#include "snipeferry/net/gatewaysettings.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace snipeferry;

// The platform fills deploy/gateway.yaml.template with the fields of a deployment. A process has to start with all that a deployment may state.
namespace {

using Json = nlohmann::json;

std::string readTemplate()
{
    std::ifstream file(std::string(SNIPEFERRY_SOURCE_DIR) + "/deploy/gateway.yaml.template");
    REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

const Json *find(const Json &fields, const std::string &path)
{
    const Json *value = &fields;
    for (const absl::string_view name : absl::StrSplit(path, '.')) {
        if (value->is_array()) {
            const std::size_t index = std::stoul(std::string(name));
            value = index < value->size() ? &value->at(index) : nullptr;
        } else {
            value = value->is_object() && value->contains(std::string(name)) ? &value->at(std::string(name)) : nullptr;
        }
        if (value == nullptr) {
            return nullptr;
        }
    }
    return value;
}

std::string textOf(const Json *value)
{
    return value == nullptr ? "" : value->is_string() ? value->get<std::string>() : value->dump();
}

/** Fills the parts of the template language that the template uses, as the platform's page on settings tells. */
std::string fill(const std::string &text, const Json &fields, const Json *entry = nullptr, const std::string &key = {})
{
    std::string result;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t begin = text.find("{{", at);
        if (begin == std::string::npos) {
            return result + text.substr(at);
        }
        result += text.substr(at, begin - at);
        const std::size_t end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        at = end + 2;
        if (name.front() == '#') {
            name.erase(0, 1);
            const std::string close = "{{/" + name + "}}";
            const std::size_t closeAt = text.find(close, at);
            const std::string inner = text.substr(at, closeAt - at);
            at = closeAt + close.size();
            const Json *value = find(fields, name);
            if (value != nullptr && value->is_object()) {
                for (const auto &item : value->items()) {
                    result += fill(inner, fields, &item.value(), item.key());
                }
            } else if (value != nullptr && *value != false) {
                result += fill(inner, fields, value);
            }
            continue;
        }
        const bool isJson = absl::EndsWith(name, "|json");
        name = isJson ? name.substr(0, name.size() - 5) : name;
        const Json *value = name == "." ? entry : find(fields, name);
        if (name == "@") {
            result += key;
        } else {
            result += isJson ? (value == nullptr ? "null" : value->dump()) : textOf(value);
        }
    }
    return result;
}

/** Fields of a small deployment, in figures of this test's own. */
Json deploymentFields()
{
    return Json::parse(
        R"({"nodeName": "front-a-1", "zone": "a", "region": "north", "zones": {"a": "north", "b: c": "south"}, "ip": "10.0.0.1", "beatIntervalMs": 900,
        "internalPorts": [7000, 7015], "platform": {"address": "10.9.0.1:80"}, "limits": {"memoryMb": 200, "cpuShare": 0.2},
        "listen": {"front": "10.0.0.1:1", "directory": "10.0.0.1:2", "ready": "10.0.0.1:3", "control": "10.0.0.1:4"},
        "bounds": {"revokeMs": 4000, "drainMs": 2500, "retryRatio": 0.15, "quotaSlack": 90000, "quotaExcess": 0.2, "retrySlack": 44, "budgetWindowS": 9,
        "graceS": 7}})");
}

core::Expected<net::GatewayProcessSettings> settingsOf(const Json &fields)
{
    return net::parseGatewaySettings("local.yaml", fill(readTemplate(), fields));
}

} // namespace

TEST_CASE("a process starts with every form of number that a deployment may state for a bound")
{
    const std::string path = GENERATE("bounds.revokeMs", "bounds.drainMs", "bounds.retryRatio", "bounds.quotaSlack", "bounds.quotaExcess", "bounds.retrySlack",
        "bounds.budgetWindowS", "bounds.graceS", "bounds.leaseMs", "bounds.thawMs", "bounds.reportWindowS", "bounds.usageLateS", "bounds.usageTolerance",
        "beatIntervalMs", "limits.memoryMb", "limits.cpuShare");
    const std::vector<std::string> parts = absl::StrSplit(path, '.');
    const bool isBound = parts[0] == "bounds" || parts.size() == 1;
    Json fields = deploymentFields();
    for (const std::string &form : std::vector<std::string>{"33.1578947368421", "0", "absent", "2000000000", "2.5e2", "1e-7", "0.0"}) {
        if (!isBound && form != "absent") {
            continue;
        }
        INFO(path << " = " << form);
        fields["bounds"] = deploymentFields()["bounds"];
        fields["limits"] = deploymentFields()["limits"];
        Json &group = parts.size() == 1 ? fields : fields[parts[0]];
        if (form == "absent") {
            group.erase(parts.back());
        } else {
            // The platform writes a number with an exponent as it is; the library would not.
            group[parts.back()] = form;
        }
        const core::Expected<net::GatewayProcessSettings> settings = settingsOf(fields);
        INFO((settings ? "" : settings.error().message));
        CHECK(settings);
    }
}

TEST_CASE("a deployment with duties has their address, list and bounds in the settings, and one without has none")
{
    Json fields = deploymentFields();
    REQUIRE(settingsOf(fields));
    CHECK(settingsOf(fields)->gateway.duties == duties::DutySettings());
    fields["cloudApi"] = {{"address", "10.9.0.2:81"}, {"duties", {"metering", "autoscale"}}, {"dutyPerS", 40}};
    fields["bounds"]["leaseMs"] = 2000;
    fields["bounds"]["thawMs"] = 250;
    fields["bounds"]["reportWindowS"] = 4;
    fields["bounds"]["usageLateS"] = 9;
    fields["bounds"]["usageTolerance"] = 0.1;
    fields["bounds"]["requireFence"] = true;
    core::Expected<net::GatewayProcessSettings> settings = settingsOf(fields);
    INFO((settings ? "" : settings.error().message));
    REQUIRE(settings);
    const duties::DutySettings expected{
        "10.9.0.2:81", {"metering", "autoscale"}, 40, absl::Seconds(2), absl::Milliseconds(250), absl::Seconds(4), absl::Seconds(9), 0.1, true};
    CHECK(settings->gateway.duties == expected);
    // An address with an empty list: the process starts, and has no duties.
    fields["cloudApi"]["duties"] = Json::array();
    settings = settingsOf(fields);
    REQUIRE(settings);
    CHECK(settings->gateway.duties.duties.empty());
}

TEST_CASE("a tolerance is a quantity and need not be whole")
{
    Json fields = deploymentFields();
    fields["bounds"]["retrySlack"] = 33.1578947368421;
    fields["bounds"]["quotaSlack"] = 7368.42;
    fields["bounds"]["revokeMs"] = 2500.5;
    const core::Expected<net::GatewayProcessSettings> settings = settingsOf(fields);
    REQUIRE(settings);
    CHECK(settings->gateway.repeats.slack == Approx(33.1578947368421));
    CHECK(settings->gateway.allowances.slack == Approx(7368.42));
    CHECK(settings->gateway.flow.keyWithdrawalTime == absl::Milliseconds(2500.5));
    CHECK(settings->gateway.serverDrainTime == absl::Milliseconds(2500));
    CHECK(settings->machine.memoryMb == Approx(200));
}

TEST_CASE("a process starts with the bounds of deployments of every size")
{
    // Small, grown, large, and the small twin of a large one, whose quantities are shares of the large one's.
    const Json bounds = GENERATE(Json{{"revokeMs", 5000}, {"drainMs", 3000}, {"retrySlack", 60}, {"quotaSlack", 150000}, {"graceS", 8}},
        Json{{"revokeMs", 5000}, {"drainMs", 5000}, {"retrySlack", 200}, {"quotaSlack", 190000}, {"graceS", 8}},
        Json{{"revokeMs", 5000}, {"drainMs", 5000}, {"retrySlack", 600}, {"quotaSlack", 140000}, {"graceS", 8}},
        Json{{"revokeMs", 5000}, {"drainMs", 5000}, {"retrySlack", 600.0 / 19}, {"quotaSlack", 140000.0 / 19}, {"graceS", 8}});
    Json fields = deploymentFields();
    fields["bounds"].update(bounds);
    CHECK(settingsOf(fields));
}

TEST_CASE("bounds that cannot be meant are refused, all at once and each with its key")
{
    Json fields = deploymentFields();
    fields["bounds"]["retrySlack"] = -1;
    fields["bounds"]["revokeMs"] = "soon";
    fields["bounds"]["quotaExcess"] = "nan";
    fields["limits"]["memoryMb"] = 0;
    const core::Expected<net::GatewayProcessSettings> settings = settingsOf(fields);
    REQUIRE_FALSE(settings);
    for (const char *key : {"promises.repeat_slack", "promises.key_withdrawal", "promises.allowance_excess", "machine.memory_mb"}) {
        INFO(settings.error().message);
        CHECK(absl::StrContains(settings.error().message, absl::StrCat(key, ": found")));
    }
}
