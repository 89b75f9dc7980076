#include "snipeferry/configuration/intent.h"

#include "snipeferry/configuration/plan.h"
#include "snipeferry/configuration/validation.h"
#include "snipeferry/core/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace snipeferry;

namespace {

constexpr const char *FIRST_INTENT = R"(
regions:
  recife: {data_centres: {recife-1: {limit_weight: 2}}}
  fortaleza: {data_centres: {fortaleza-1: {}}}
links:
  - {between: [recife, fortaleza], bits_per_second: 2000000000, latency: 55ms}
services:
  assistant: {type: model_engine, model: planner, version: v1, deadline: 20s, hold_limit: 5s}
  booking:
    type: plain_service
    version: v1
    routes:
      /reservations: {}
      /stock: {idempotent: true}
      /health: {open: true, call_cost: 0}
customers:
  bar: {keys: [key-of-the-bar], rate_per_second: 100, burst: 1000, allowed_regions: [recife]}
)";

core::Expected<configuration::Configuration> applyText(const std::string &text, const configuration::Configuration &base)
{
    core::Expected<settings::YamlDocument> document = settings::YamlDocument::parse("intent.yaml", text);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    return configuration::applyIntent(*document, base);
}

std::string faultOf(const std::string &text)
{
    const configuration::Configuration base = *applyText(FIRST_INTENT, {});
    const core::Expected<configuration::Configuration> applied = applyText(text, base);
    return applied.has_value() ? "no fault" : applied.error().message;
}

bool hasText(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("intent: a first intent makes a whole configuration in which keys are digests")
{
    const core::Expected<configuration::Configuration> applied = applyText(FIRST_INTENT, {});
    REQUIRE(applied.has_value());
    CHECK(applied->regions.front().dataCentres.front().limitWeight == 2);
    CHECK(applied->links.front().latency == absl::Milliseconds(55));
    CHECK(configuration::findService(*applied, core::ServiceId("assistant"))->holdLimit == absl::Seconds(5));
    const configuration::Service *booking = configuration::findService(*applied, core::ServiceId("booking"));
    CHECK(configuration::findRoute(*booking, "/health/live")->isOpen);
    CHECK_FALSE(configuration::findRoute(*booking, "/reservations/7")->isIdempotent);
    CHECK(applied->customers.front().keyDigests.front() == core::sha256Hex("key-of-the-bar"));
}

TEST_CASE("intent: fields absent from an intent keep their values and keys are issued and withdrawn individually")
{
    const configuration::Configuration base = *applyText(FIRST_INTENT, {});
    const std::string intent = "customers:\n  bar: {rate_per_second: 150, issue_keys: [another-key], withdraw_keys: ['sha256:"
        + core::sha256Hex("key-of-the-bar") + "']}\nrollouts:\n  move: {service: assistant, to: v2, deadline: 2026-12-05T18:00:00Z}\n";
    const core::Expected<configuration::Configuration> applied = applyText(intent, base);
    REQUIRE(applied.has_value());
    CHECK(applied->customers.front().burst == 1000);
    CHECK(applied->customers.front().keyDigests == std::vector<std::string>{core::sha256Hex("another-key")});
    CHECK(applied->rollouts.front().fromVersion == core::VersionId("v1"));
    const std::vector<std::string> changes = configuration::describeDifference(base, *applied);
    CHECK(changes == std::vector<std::string>{"customer bar: keys: 1 issued, 1 withdrawn", "customer bar: ratePerSecond 100 -> 150", "rollout move: added"});
    CHECK(configuration::describePeak(base, *applied).front()
        == "region recife: the customers allowed here may use up to 9000 tokens per minute in total, previously 6000");
}

TEST_CASE("intent: an error names the file, line, key, what was found and what is allowed")
{
    CHECK(faultOf("customers:\n  bar:\n    alowed_regions: [recife]\n").rfind("intent.yaml:3: customers.bar.alowed_regions: found an unknown key, allowed: ", 0)
        == 0);
    CHECK(faultOf("customers:\n  bar:\n    rate_per_second: -1\n").rfind("intent.yaml:3: customers.bar.rate_per_second: found ", 0) == 0);
    CHECK(hasText(faultOf("customers:\n  bar:\n    allowed_regions: [atlantis]\n"),
        "intent.yaml:3: customers.bar.allowed_regions: found atlantis, allowed: one of recife, fortaleza"));
    CHECK(hasText(faultOf("customers:\n  bar: {allowed_regions: []}\n"), "customers.bar.allowed_regions: found none"));
    CHECK(hasText(faultOf("customers:\n  hotel: {allowed_regions: [recife], burst: 1}\n"), "customers.hotel.rate_per_second: found nothing"));
    CHECK(hasText(faultOf("customers:\n  bar: {issue_keys: [key-of-the-bar]}\n"), "a key that is given twice"));
    CHECK(hasText(
        faultOf("customers:\n  hotel: {keys: [key-of-the-bar], allowed_regions: [recife], rate_per_second: 1, burst: 1}\n"), "a key that is given twice"));
    CHECK(hasText(faultOf("services:\n  booking:\n    routes:\n      stock: {}\n"), "a path that begins with /"));
    CHECK(hasText(faultOf("services:\n  empty: {version: v1}\n"), "services.empty.routes: found none"));
    CHECK(hasText(faultOf("services:\n  assistant: {hold_limit: 30s}\n"), "less than the deadline"));
    CHECK(
        hasText(faultOf("rollouts:\n  r: {service: nothing, to: v2, deadline: 2026-12-05T18:00:00Z}\n"), "found nothing, allowed: one of assistant, booking"));
    CHECK(hasText(faultOf("rollouts:\n  r: {service: booking, to: v1, deadline: 2026-12-05T18:00:00Z}\n"), "a version other than the one it starts from"));
    CHECK(hasText(faultOf("remove: {regions: [recife]}\n"), "customer bar: allowed region recife is not defined"));
    CHECK(hasText(faultOf("links:\n  - {between: [recife], bits_per_second: 1, latency: 1ms}\n"), "two regions"));
    CHECK_FALSE(hasText(faultOf("customers:\n  bar: {keys: ['bad key']}\n"), "bad key"));
}

TEST_CASE("intent: without a base only what the intent itself says is checked")
{
    const auto check = [](const std::string &text) {
        core::Expected<settings::YamlDocument> document = settings::YamlDocument::parse("intent.yaml", text);
        return configuration::checkIntent(*document).has_value();
    };
    CHECK(check(FIRST_INTENT));
    CHECK(check("customers:\n  bar: {rate_per_second: 150, withdraw_keys: [key-of-the-bar]}\n"));
    CHECK_FALSE(check("customers:\n  bar: {rate: 150}\n"));
    CHECK_FALSE(check("customers:\n  bar: {allowed_regions: []}\n"));
}

TEST_CASE("plan: a target without changes or with faults gives no plan, and an edited plan file is refused")
{
    const configuration::Configuration base = *applyText(FIRST_INTENT, {});
    CHECK_FALSE(configuration::makePlan({base, 1}, base, "n").has_value());
    configuration::Configuration faulty = base;
    faulty.customers.front().allowedRegions.clear();
    CHECK_FALSE(configuration::makePlan({base, 1}, faulty, "n").has_value());

    configuration::Configuration target = base;
    target.slotsPerDataCentre = 8;
    configuration::Plan plan = *configuration::makePlan({base, 1}, target, "n");
    CHECK((*configuration::decodePlan(configuration::encodePlan(plan)) == plan));
    plan.target.revision += 1;
    CHECK_FALSE(configuration::decodePlan(configuration::encodePlan(plan)).has_value());
}

TEST_CASE("intent: random texts and random damage give a configuration without faults or an error, and leave the base alone")
{
    const configuration::Configuration base = *applyText(FIRST_INTENT, {});
    CHECK(rc::check("damaged intents", [&](const std::vector<std::pair<std::size_t, char>> &edits) {
        std::string text = FIRST_INTENT;
        for (const auto &[place, letter] : edits) {
            text[place % text.size()] = letter;
        }
        const core::Expected<configuration::Configuration> applied = applyText(text, base);
        RC_ASSERT((!applied.has_value() || configuration::findFaults(*applied).empty()));
    }));
    CHECK(rc::check("random intents", [&](const std::string &text) {
        const core::Expected<configuration::Configuration> applied = applyText(text, base);
        RC_ASSERT((!applied.has_value() || configuration::findFaults(*applied).empty()));
    }));
}

TEST_CASE("manifest: splitting and joining any configuration reproduces it and a damaged chunk returns an error")
{
    const configuration::Configuration base = *applyText(FIRST_INTENT, {});
    CHECK(rc::check("chunks", [&](std::uint8_t customers, std::size_t place, char letter) {
        configuration::Configuration configuration = base;
        for (int number = 0; number < customers; ++number) {
            configuration::Customer customer = base.customers.front();
            customer.id = core::CustomerId("c" + std::to_string(1000 + number));
            configuration.customers.push_back(customer);
        }
        configuration.revision = 7;
        configuration::Manifest manifest;
        manifest.revision = 7;
        std::map<std::string, std::string> chunks;
        for (const configuration::Chunk &chunk : configuration::splitConfiguration(configuration)) {
            manifest.chunks.push_back({chunk.name, "/" + chunk.name, chunk.digest});
            chunks[chunk.name] = chunk.bytes;
        }
        RC_ASSERT((*configuration::joinConfiguration(manifest, chunks) == configuration));
        std::string &bytes = chunks.begin()->second;
        char &damaged = bytes[place % bytes.size()];
        RC_PRE(damaged != letter);
        damaged = letter;
        RC_ASSERT(!configuration::joinConfiguration(manifest, chunks).has_value());
    }));
    CHECK(rc::check("random manifests and plans", [](const std::string &text) {
        RC_ASSERT(!configuration::decodeManifest(text).has_value());
        RC_ASSERT(!configuration::decodePlan(text).has_value());
    }));
}
