#pragma once

#include "snipeferry/configuration/manifest.h"
#include "snipeferry/platform/messages.h"

#include <string>
#include <vector>

/**
 * Plans of operators' changes. A plan lists what would change; confirming it succeeds only if its base is still the accepted one.
 */
namespace snipeferry::configuration {

/** The accepted configuration that a plan is made from. */
struct PlanBase
{
    Configuration configuration;
    /** Revision of the manifest's key in the platform's store; 0 if no configuration was accepted yet. */
    std::int64_t modRevision = 0;
};

/** A change that an operator can confirm; saved as a file. */
struct Plan
{
    int format = 1;
    /** Unique text by which the plan is recognized among the accepted ones. */
    std::string nonce;
    core::Revision baseRevision = 0;
    std::int64_t baseModRevision = 0;
    Configuration target;
    /** Descriptions of the changes, for the operator. */
    std::vector<std::string> changes;
    /** Descriptions of how the change affects the busiest minute, as far as this is known. */
    std::vector<std::string> peakNotes;

    SNIPEFERRY_VALUE(Plan, format, nonce, baseRevision, baseModRevision, target, changes, peakNotes)
};

/**
 * @brief Makes a plan.
 * @param base the accepted configuration
 * @param target the new configuration; this function sets its revision
 * @param nonce a text that no other plan uses
 * @return the plan; or ConfigurationInvalid if the target has faults or does not differ from the base
 */
core::Expected<Plan> makePlan(const PlanBase &base, Configuration target, std::string nonce);

std::string encodePlan(const Plan &plan);

/** @brief Decodes a plan file; returns ConfigurationInvalid if the text is not a valid plan. */
core::Expected<Plan> decodePlan(const std::string &text);

/** @brief Describes each difference in one line. Customers' keys are counted but not shown. */
std::vector<std::string> describeDifference(const Configuration &before, const Configuration &after);

/** @brief Describes how the change affects the busiest minute: the sum of the rates in each region, before and after. */
std::vector<std::string> describePeak(const Configuration &before, const Configuration &after);

/** @brief Describes each region's busiest minute of the month so far, from the ledgers at the platform. Ledgers that cannot be parsed are skipped. */
std::vector<std::string> describePaidPeaks(const std::vector<platform::KeyValue> &ledgers);

} // namespace snipeferry::configuration
