#include "snipeferry/configuration/plan.h"

#include "snipeferry/configuration/validation.h"
#include "snipeferry/limits/sharelayout.h"
#include "snipeferry/peak/messages.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeferry::configuration {

namespace {

constexpr std::int64_t SECONDS_PER_MINUTE = 60;

core::Error invalidConfiguration(const std::string &message)
{
    return core::makeError(core::ErrorKind::ConfigurationInvalid, message);
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

core::Tokens sumTokensPerMinute(const Configuration &configuration, const core::RegionId &region)
{
    core::Tokens sum = 0;
    for (const Customer &customer : configuration.customers) {
        if (isRegionAllowed(customer, region)) {
            sum += customer.ratePerSecond;
        }
    }
    return sum * SECONDS_PER_MINUTE;
}

} // namespace

core::Expected<Plan> makePlan(const PlanBase &base, Configuration target, std::string nonce)
{
    const std::vector<std::string> faults = findFaults(target);
    if (!faults.empty()) {
        return tl::make_unexpected(invalidConfiguration(joinLines(faults)));
    }
    target.revision = base.configuration.revision + 1;
    target.layoutRevision = limits::movesShares(base.configuration, target) ? target.revision : base.configuration.layoutRevision;
    for (const Chunk &chunk : splitConfiguration(target)) {
        if (chunk.bytes.size() > MAX_CHUNK_BYTES) {
            return tl::make_unexpected(invalidConfiguration("the part \"" + chunk.name + "\" is larger than a value at the platform may be"));
        }
    }

    Plan plan;
    plan.changes = describeDifference(base.configuration, target);
    if (plan.changes.empty()) {
        return tl::make_unexpected(invalidConfiguration("nothing changes"));
    }
    plan.peakNotes = describePeak(base.configuration, target);
    plan.nonce = std::move(nonce);
    plan.baseRevision = base.configuration.revision;
    plan.baseModRevision = base.modRevision;
    plan.target = std::move(target);
    return plan;
}

std::string encodePlan(const Plan &plan)
{
    return nlohmann::json(plan).dump(1);
}

core::Expected<Plan> decodePlan(const std::string &text)
{
    try {
        Plan plan = nlohmann::json::parse(text).get<Plan>();
        if (plan.format != 1 || plan.nonce.empty() || plan.target.revision != plan.baseRevision + 1) {
            return tl::make_unexpected(invalidConfiguration("the plan file has an unknown format or was edited"));
        }
        return plan;
    } catch (const nlohmann::json::exception &) {
        return tl::make_unexpected(invalidConfiguration("this is not a plan file"));
    }
}

std::vector<std::string> describePeak(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> notes;
    for (const Region &region : after.regions) {
        const core::Tokens tokensBefore = sumTokensPerMinute(before, region.id);
        const core::Tokens tokensAfter = sumTokensPerMinute(after, region.id);
        if (tokensBefore != tokensAfter) {
            notes.push_back(absl::StrCat("region ", region.id.value(), ": the customers allowed here may use up to ", tokensAfter,
                " tokens per minute in total, previously ", tokensBefore));
        }
    }
    return notes;
}

std::vector<std::string> describePaidPeaks(const std::vector<platform::KeyValue> &ledgers)
{
    std::vector<std::string> notes;
    for (const platform::KeyValue &ledger : ledgers) {
        try {
            for (const peak::RegionPeak &regionPeak : nlohmann::json::parse(ledger.value).get<peak::LedgerReport>().peaks) {
                notes.push_back(
                    absl::StrCat("region ", regionPeak.region.value(), ": busiest minute of the month so far ", regionPeak.tokensPerMinute, " tokens"));
            }
        } catch (const nlohmann::json::exception &) {
            continue;
        }
    }
    return notes;
}

} // namespace snipeferry::configuration
