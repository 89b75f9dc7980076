#include "directorycodec.h"
#include "headercodec.h"
#include "recordcodec.h"
#include "storeformat.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace snipeferry;

namespace {

const fleetplatform::HeaderCodec HEADERS;
const fleetplatform::RecordCodec RECORDS;
const fleetplatform::StoreFormat STORE;
const fleetplatform::DirectoryCodec DIRECTORY;

gateway::HttpRequest planRequest()
{
    return {"POST", "/plans/1",
        {{"Host", "ficu95.example:80"}, {"Attempt-Id", "9c41"}, {"Model", "m"}, {"Token-Counts", "1460,80"}, {"Prompt-Prefix", "5c1e:800,91bd:410,e440:250"},
            {"Deadline-Ms", "10000"}, {"Api-Key", "secret"}, {"Tenant", "someone"}, {"hold", "h"}, {"Pin-Ms", "5"}, {"Kv-From", "x"}, {"Kv-Backup", "y"},
            {"Request-Priority", "0"}, {"Expect-Instance", "i-1"}, {"Last-Event-Id", "12"}, {"X-Other", "kept"}},
        "prompt"};
}

bool has(const gateway::Headers &headers, const std::string &name, const std::string &value)
{
    return std::find(headers.begin(), headers.end(), gateway::Header{name, value}) != headers.end();
}

int countOf(const gateway::Headers &headers, const std::string &name)
{
    return static_cast<int>(std::count_if(headers.begin(), headers.end(), [&](const gateway::Header &header) { return header.name == name; }));
}

gateway::RecordChange put(const std::string &key, const std::string &value)
{
    return {key, value, 1};
}

const char *const CONFIG = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":800,"priority":0,"service":"s1","maxAttempts":1,
  "public":false,"sticky":true,"resumable":false,"gapAimMs":800,"homeRegions":["bajio"]},
 {"name":"r2","host":"h","prefix":"/b/","kind":"idempotent","timeoutMs":10000,"targetLatencyMs":1200,"priority":1,
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":true,"homeRegions":[]}],
 "services":[{"name":"s1","healthPath":"/health","maxConns":370,"coldS":3.0,"coldPerS":2.0,"engine":{"slots":64}},
  {"name":"s2","healthPath":"/health","maxConns":110,"coldS":0.0,"coldPerS":0.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":507642,"burst":1000,"homeRegions":[]}]})";

const char *const SERVER
    = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready","coldLeftMs":250,"callSeq":4,"born":17})";

} // namespace

TEST_CASE("a request is decoded, and headers that only the gateway may set are removed")
{
    const core::Expected<gateway::CallerRequest> request = HEADERS.decodeRequest(planRequest());
    REQUIRE(request);
    CHECK(request->id == core::RequestId("9c41"));
    CHECK(request->host == "ficu95.example");
    CHECK(request->timeLimit == absl::Seconds(10));
    CHECK(request->promptTokens == 1460);
    CHECK(request->outputTokens == 80);
    CHECK(request->promptParts.size() == 3);
    CHECK(request->lastEventId == "12");
    CHECK(request->keyDigest.find("secret") == std::string::npos);
    for (const char *removed : {"Api-Key", "Tenant", "hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Request-Priority", "Expect-Instance", "Deadline-Ms"}) {
        CHECK(countOf(request->http.headers, removed) == 0);
    }
    for (const char *kept : {"Attempt-Id", "Model", "Token-Counts", "Prompt-Prefix", "X-Other"}) {
        CHECK(countOf(request->http.headers, kept) == 1);
    }
}

TEST_CASE("a run's headers contain the remaining time, the runner and the tenant, each once")
{
    gateway::HttpRequest request = HEADERS.decodeRequest(planRequest())->http;
    HEADERS.encodeRun(request, {core::BackendServerId("i-7"), core::CustomerId("t"), absl::Milliseconds(1500), 12, "12", "10.1.0.9:7001"});
    CHECK(has(request.headers, "Expect-Instance", "i-7"));
    CHECK(has(request.headers, "Tenant", "t"));
    CHECK(has(request.headers, "Deadline-Ms", "1500"));
    CHECK(has(request.headers, "Request-Priority", "9"));
    CHECK(has(request.headers, "Last-Event-Id", "12"));
    CHECK(has(request.headers, "Kv-Fetch", "10.1.0.9:7001"));
    CHECK(countOf(request.headers, "Tenant") == 1);
}

TEST_CASE("a request without an identifier is an error, and none is assigned")
{
    CHECK_FALSE(HEADERS.decodeRequest({"GET", "/", {{"Host", "h"}}, ""}));
}

TEST_CASE("an answer's head states whether the request was run")
{
    CHECK(HEADERS.decodeAnswer({503, {{"Not-Executed", "1"}}}).isNotRun);
    CHECK_FALSE(HEADERS.decodeAnswer({503, {}}).isNotRun);
    CHECK(HEADERS.decodeAnswer({421, {}}).isWrongServer);
    CHECK(HEADERS.decodeAnswer({200, {{"server-seal", "x"}}}).hasReceipt);
    CHECK(HEADERS.decodeAnswer({200, {{"Runner-Load", "3,1,8"}}}).running == 3);
    CHECK(HEADERS.decodeAnswer({200, {{"Runner-Load", "3,x,8"}}}).running == -1);
    CHECK_FALSE(HEADERS.decodeAnswer({200, {}}).requestLimit.has_value());
    for (const std::string text : {"0", "0.3", "1.7", "10000"}) {
        CHECK(absl::StrCat(HEADERS.decodeAnswer({503, {{"server-limit", text}}}).requestLimit.value()) == text);
    }
    for (const std::string text : {"", "-1", "many", "nan", "inf", "1 2"}) {
        const gateway::RunReport report = HEADERS.decodeAnswer({200, {{"Server-Limit", text}}});
        CHECK_FALSE(report.requestLimit.has_value());
        CHECK(report.isLimitUnreadable);
    }
    CHECK(HEADERS.decodeAnswer({200, {{"Server-Limit", "1"}, {"Server-Limit", "2"}}}).isLimitUnreadable);
}

// Guards against a load header with a figure for the momentary cost being ignored as a whole, and against odd figures that change the load.
TEST_CASE("an answer's head states the load with or without the momentary cost")
{
    const gateway::RunReport three = HEADERS.decodeAnswer({200, {{"Runner-Load", "3,1,8"}}});
    CHECK((three.running == 3 && three.waiting == 1 && three.slots == 8));
    CHECK_FALSE((three.momentaryCost.has_value() || three.isLoadUnreadable));
    for (const auto &figure : std::vector<std::pair<std::string, double>>{{"100", 1.0}, {"250", 2.5}, {"0", 0.0}, {"1", 0.01}, {"10000", 100.0}}) {
        const gateway::RunReport four = HEADERS.decodeAnswer({200, {{"runner-load", "3,1,8," + figure.first}}});
        CHECK((four.running == 3 && four.waiting == 1 && four.slots == 8 && !four.isLoadUnreadable));
        CHECK(four.momentaryCost.value() == Approx(figure.second));
    }
    const std::vector<std::pair<std::string, std::string>> odd = {{"", "figures"}, {"3,1", "figures"}, {"3,1,8,100,7", "figures"}, {"3,1,8,", "no_number"},
        {"3,x,8", "no_number"}, {"3,1,8,fast", "no_number"}, {"3,1,8,nan", "no_number"}, {"3,1,8,inf", "no_number"}, {"3,1,99999999999,100", "no_number"},
        {"3,1,8,-100", "negative"}, {"-3,1,8,100", "negative"}};
    for (const auto &text : odd) {
        const gateway::RunReport report = HEADERS.decodeAnswer({200, {{"Runner-Load", text.first}}});
        CHECK((report.isLoadUnreadable && report.loadFault == text.second));
        CHECK((report.running == -1 && report.waiting == -1 && report.slots == -1 && !report.momentaryCost.has_value()));
    }
    CHECK(HEADERS.decodeAnswer({200, {{"Runner-Load", "3,1,8"}, {"Runner-Load", "4,1,8"}}}).loadFault == "repeated");
    CHECK_FALSE(HEADERS.decodeAnswer({200, {}}).isLoadUnreadable);
}

TEST_CASE("an answer's head states how many refusals a brittle backend server bears")
{
    CHECK_FALSE(HEADERS.decodeAnswer({200, {}}).brittleRate.has_value());
    for (const std::string text : {"0", "1", "0.5", "40"}) {
        CHECK(absl::StrCat(HEADERS.decodeAnswer({503, {{"server-brittle", text}}}).brittleRate.value()) == text);
    }
    for (const std::string text : {"", "-1", "many", "nan"}) {
        const gateway::RunReport report = HEADERS.decodeAnswer({200, {{"Server-Brittle", text}}});
        CHECK_FALSE(report.brittleRate.has_value());
        CHECK(report.isBrittleRateUnreadable);
    }
    CHECK(HEADERS.decodeAnswer({200, {{"Server-Brittle", "1"}, {"Server-Brittle", "2"}}}).isBrittleRateUnreadable);
}

TEST_CASE("the answer to a question for a backend server's state says how long it remains cold")
{
    const gateway::HttpRequest question = HEADERS.stateQuestion(core::BackendServerId("i-7"), "/health");
    CHECK(question == gateway::HttpRequest{"GET", "/health", {{"Expect-Instance", "i-7"}}, ""});
    CHECK_FALSE(HEADERS.decodeAnswer({200, {}}).coldLeft.has_value());
    CHECK(HEADERS.decodeAnswer({200, {{"cold-ms", "2500"}}}).coldLeft == absl::Milliseconds(2500));
    CHECK(HEADERS.decodeAnswer({503, {{"Cold-Ms", "0"}}}).coldLeft == absl::ZeroDuration());
    for (const std::string text : {"", "-1", "long", "nan"}) {
        const gateway::RunReport report = HEADERS.decodeAnswer({200, {{"Cold-Ms", text}}});
        CHECK_FALSE(report.coldLeft.has_value());
        CHECK(report.isColdTimeUnreadable);
    }
}

// Guards against processes that end, or stop following the list, because another writer left one odd entry there (LOST).
TEST_CASE("an odd entry among the announcements of backend servers is an error of its own")
{
    constexpr std::size_t LARGE = 1U << 20U;
    const auto with = [](const std::string &field, const std::string &value) {
        nlohmann::json fields = nlohmann::json::parse(SERVER);
        fields[field] = nullptr;
        std::string text = fields.dump();
        const std::string empty = "\"" + field + "\":null";
        return text.replace(text.find(empty), empty.size(), "\"" + field + "\":" + value);
    };
    std::vector<std::string> odd = {std::string(LARGE, '['), std::string(5000, '[') + std::string(5000, ']'), "\xff\xfe{",
        with("slots", "99999999999999999999999"), with("slots", "18446744073709551617"), with("slots", "1.5"), with("slots", "4294967297"),
        with("coldLeftMs", "1e400"), with("coldLeftMs", "1e300"), with("coldLeftMs", "-1e300"), with("born", "1e30"),
        with("extra", std::string(3000, '[') + std::string(3000, ']')), with("extra", "\"" + std::string(LARGE, 'x') + "\"")};
    for (const char *address : {"10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:http", "10.0.0.1", "10.0.0.1:1:2", "10.0.0.999:80", ""}) {
        odd.push_back(with("address", absl::StrCat("\"", address, "\"")));
    }
    for (const std::string &entry : odd) {
        INFO(entry.substr(0, 200));
        CHECK_FALSE(RECORDS.decodeBackendServer("servers/i-7", entry));
    }
    // The last of two fields of one name counts.
    CHECK(RECORDS.decodeBackendServer("servers/i-7", std::string(SERVER).insert(1, R"("slots":"many",)")));
}

// Guards against an era that ends the process or sends the copies astray, because its header is missing, doubled or no number.
TEST_CASE("the store's era is one whole number, or the answer names none")
{
    CHECK_FALSE(STORE.decodeEra({})->has_value());
    CHECK(STORE.decodeEra({{"store-era", "7"}})->value() == 7);
    CHECK(STORE.decodeEra({{"Store-Era", "7"}, {"Store-Era", "7"}})->value() == 7);
    CHECK_FALSE(STORE.decodeEra({{"Store-Era", "7"}, {"Store-Era", "8"}}));
    for (const char *text : {"", "x", "-1", "1.5", "99999999999999999999999", "4194304000000"}) {
        CHECK_FALSE(STORE.decodeEra({{"Store-Era", text}}));
    }
}

TEST_CASE("a refusal has a retry-after time")
{
    const gateway::Headers headers
        = HEADERS.answerHeaders(core::RequestId("9c41"), core::makeError(core::ErrorKind::Overloaded, "full", absl::Milliseconds(250)));
    CHECK(has(headers, "Retry-After", "0.25"));
    CHECK(has(headers, "Attempt-Id", "9c41"));
}

TEST_CASE("the operator's deployment is decoded into the gateway's types")
{
    const core::Expected<gateway::OperatorRecord> record = RECORDS.decodeOperator(put("op/config", CONFIG));
    REQUIRE(record);
    REQUIRE(record->deployment.has_value());
    const gateway::Deployment &deployment = *record->deployment;
    CHECK(deployment.version == 7);
    CHECK(deployment.routes[0].isStream);
    CHECK(deployment.routes[0].repeatRule == gateway::RepeatRule::AtMostOnce);
    CHECK(deployment.routes[0].homeRegions == std::vector<core::RegionId>{core::RegionId("bajio")});
    CHECK(deployment.routes[1].repeatRule == gateway::RepeatRule::Idempotent);
    CHECK(deployment.routes[1].services == std::vector<gateway::WeightedService>{{core::ServiceId("s1"), 90}, {core::ServiceId("s2"), 10}});
    CHECK(deployment.routes[1].isOpen);
    CHECK(deployment.services[0].isModelEngine);
    CHECK_FALSE(deployment.services[1].isModelEngine);
    CHECK(deployment.customers[0].countsTokens);
    CHECK(deployment.customers[0].keyDigests.size() == 2);
    CHECK(deployment.limits.idleTimeout == absl::Seconds(15));
}

TEST_CASE("records that are not in the operator's format are errors, not empty values")
{
    CHECK_FALSE(RECORDS.decodeOperator(put("op/config", "{}")));
    CHECK_FALSE(RECORDS.decodeOperator(put("op/config", "\xff")));
    CHECK_FALSE(RECORDS.decodeOperator(put("op/rollout/s1", "[]")));
    CHECK(RECORDS.decodeOperator(put("op/evacuate/z", "{}"))->dataCentre == core::DataCentreId("z"));
    CHECK(RECORDS.decodeOperator(put("op/unknown", "?"))->kind == gateway::OperatorRecord::Kind::Other);
}

TEST_CASE("a runner's announcement is decoded, and one from another writer is an error")
{
    const core::Expected<gateway::BackendServer> server = RECORDS.decodeBackendServer("servers/i-7", SERVER);
    REQUIRE(server);
    CHECK(server->id == core::BackendServerId("i-7"));
    CHECK(server->coldLeft == absl::Milliseconds(250));
    CHECK(server->startedAtMs == 17);
    const std::string good(SERVER);
    const std::vector<std::pair<std::string, std::string>> faults
        = {{"\"ready\"", "\"resting\""}, {"\"slots\":64", "\"slots\":\"64\""}, {"\"slots\":64", "\"slots\":0"}, {"\"coldLeftMs\":250", "\"coldLeftMs\":null"},
            {"\"callSeq\":4", "\"callSeq\":4.5"}, {"\"service\":\"s1\",", ""}, {"\"born\":17", "\"born\":1.5"}};
    for (const std::pair<std::string, std::string> &fault : faults) {
        std::string bad = good;
        bad.replace(bad.find(fault.first), fault.first.size(), fault.second);
        INFO(bad);
        CHECK_FALSE(RECORDS.decodeBackendServer("servers/i-7", bad));
    }
    CHECK_FALSE(RECORDS.decodeBackendServer("servers/i-7", std::string("\xff\xfe\x00", 3)));
    // The identifier stands in the key alone.
    CHECK_FALSE(RECORDS.decodeBackendServer("servers/", good));
}

TEST_CASE("an instance's announcement is decoded as it was encoded")
{
    const gateway::Member member{core::InstanceId("front-1"), 9, core::DataCentreId("z"), core::RegionId("r"), "1.1.1.1:80", "1.1.1.1:90"};
    CHECK(RECORDS.decodeMember(RECORDS.encodeMember(member)).value() == member);
    CHECK_FALSE(RECORDS.decodeMember("{}"));
}

TEST_CASE("calls to the store have the documented form")
{
    CHECK(STORE.readPage(gateway::Topic::BackendServers, "", false).target == "/api/kv-range?prefix=servers/");
    CHECK(STORE.readPage(gateway::Topic::BackendServers, "servers/a b", false).target == "/api/kv-range?prefix=servers/&after=servers/a%20b");
    CHECK(STORE.readPage(gateway::Topic::BackendServers, "", true).target == "/api/kv-range?prefix=servers/&allowStale=1");
    CHECK(STORE.awaitChanges(gateway::Topic::Operator, 411, absl::Seconds(2)).target == "/api/kv-watch?prefix=op/&after=411&waitMs=2000");
    CHECK(STORE.openLease(absl::Seconds(3)).body == R"({"ttlMs":3000})");
    CHECK(STORE.renewLease({"77", {}}).target == "/api/kv-keep/77");
    CHECK(STORE.endLease({"77", {}}).method == "DELETE");
    CHECK(STORE.writeRecord({"k", "node-1", 0}, {"77", {}}).body == R"({"expectRev":[],"puts":[{"key":"k","lease":77,"value":"bm9kZS0x"}],"remove":[]})");
}

TEST_CASE("the store's answers are decoded, and anything else is an error")
{
    const core::Expected<net::RecordPage> page = STORE.decodePage(R"({"items":[{"key":"k","value":"bm9kZS0x","rev":4}],"morePages":true,"asOf":9})");
    REQUIRE(page);
    CHECK(page->records.front().value == "node-1");
    CHECK(page->hasMore);
    const core::Expected<net::ChangePage> changes
        = STORE.decodeChanges(R"({"events":[{"key":"k","value":"bm9kZS0x","rev":4},{"key":"o","rev":5,"tombstone":true}],"asOf":5})");
    REQUIRE(changes);
    CHECK(changes->changes[0].value == std::string("node-1"));
    CHECK_FALSE(changes->changes[1].value.has_value());
    CHECK(STORE.decodeLease(R"({"lease":77120,"ttlMs":3000})")->id == "77120");
    for (const char *bad :
        {"", "{}", "[]", "\xff", R"({"events":[{"key":"k","rev":4}],"asOf":5})", R"({"items":[{"key":"k","value":"?","rev":1}],"asOf":1})"}) {
        CHECK_FALSE(STORE.decodePage(bad));
        CHECK_FALSE(STORE.decodeChanges(bad));
        CHECK_FALSE(STORE.decodeLease(bad));
    }
}

TEST_CASE("directory and readiness calls are told apart")
{
    const std::optional<net::PlaceQuery> query = DIRECTORY.decodePlaceQuery({"GET", "/api/resolve?name=h&region=bajio&zone=bajio-1", {}, ""});
    REQUIRE(query.has_value());
    CHECK(query->region == core::RegionId("bajio"));
    CHECK(query->dataCentre == core::DataCentreId("bajio-1"));
    CHECK_FALSE(DIRECTORY.decodePlaceQuery({"POST", "/api/resolve", {}, ""}).has_value());
    CHECK(DIRECTORY.isReadinessCall({"GET", "/api/ready", {}, ""}));
    CHECK(DIRECTORY.encodeAddresses({"10.1.0.25:8221"}, absl::Seconds(2)) == R"({"addrs":["10.1.0.25:8221"],"ttlS":2.0})");
}

// Guards against a quarantined prompt part that the next process reads as an instance, or not at all.
TEST_CASE("records of quarantined prompt parts lie beside the members and come back as they were")
{
    const fleetplatform::RecordCodec records;
    const gateway::QuarantineRecord quarantine{{core::ServiceId("asesor"), std::string(400, 'f')}, 3, false};
    const gateway::Record record = records.quarantineRecord(quarantine);
    CHECK(record.key.size() <= 200);
    CHECK(record.key.rfind(fleetplatform::topicPrefix(gateway::Topic::Members), 0) == 0);
    CHECK(records.isQuarantineKey(record.key));
    CHECK_FALSE(records.isQuarantineKey(records.memberKey(core::InstanceId("front-bajio-1-1"))));
    CHECK(records.decodeQuarantine(record.value).value() == quarantine);
    CHECK_FALSE(records.decodeQuarantine("no record").has_value());
}

// Failure: a runner says in its answers that it leaves, or for how long it wants no work, and nobody reads it (DRAIN, BUDGET).
TEST_CASE("what a runner says of further work is read from its answers")
{
    CHECK_FALSE(HEADERS.decodeAnswer({200, {}}).isLeaving);
    CHECK(HEADERS.decodeAnswer({200, {{"server-leaving", " 1 "}}}).isLeaving);
    CHECK(HEADERS.decodeAnswer({503, {{"Server-Leaving", "1"}}}).isLeaving);
    CHECK_FALSE(HEADERS.decodeAnswer({200, {{"Server-Leaving", "0"}}}).isLeaving);

    for (const char *text : {"0", "0.25", "3", "1000000"}) {
        const gateway::RunReport report = HEADERS.decodeAnswer({503, {{"retry-after", text}}});
        REQUIRE(report.pauseSeconds.has_value());
        CHECK(absl::StrFormat("%g", *report.pauseSeconds) == absl::StrFormat("%g", std::stod(text)));
        CHECK_FALSE(report.isPauseUnreadable);
        CHECK_FALSE(HEADERS.decodeAnswer({200, {{"Retry-After", text}}}).pauseSeconds.has_value());
    }
    for (const char *text : {"", "-1", "nan", "inf", "soon", "Sat, 05 Dec 2026 09:00:00 GMT", "1,2"}) {
        const gateway::RunReport report = HEADERS.decodeAnswer({503, {{"Retry-After", text}}});
        INFO(text);
        CHECK_FALSE(report.pauseSeconds.has_value());
        CHECK(report.isPauseUnreadable);
    }
    CHECK(HEADERS.decodeAnswer({503, {{"Retry-After", "1"}, {"Retry-After", "1"}}}).isPauseUnreadable);
}
