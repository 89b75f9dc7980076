#pragma once

#include "support/fleet.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/**
 * Checkers that read the recorded history of a run and list the violations of a guarantee. An empty list means that there were none.
 */
namespace snipeferry::testing {

using Violations = std::vector<std::string>;

/** A configuration and the time at which it was accepted. */
struct AcceptedConfiguration
{
    absl::Time time;
    configuration::Configuration configuration;
    /** When the first instance received it, which is later than its acceptance if the platform failed in between. If absent, the time of acceptance. */
    std::optional<absl::Time> known = std::nullopt;
};

/** Data that the checkers need in addition to the records. */
struct HistoryContext
{
    /** Accepted configurations, oldest first. */
    std::vector<AcceptedConfiguration> configurations;
    /** Time after which a configuration must be in force on every instance, counted from AcceptedConfiguration::known. */
    absl::Duration propagationTime = absl::Seconds(6);
    /** Returns whether a request must not be repeated. */
    std::function<bool(const node::CallerRequest &)> isNonIdempotent;
    /** Number of tokens in a complete answer. */
    int tokens = 6;
};

/** @brief Finds requests that ran outside the regions that a configuration then in force somewhere allowed for the customer. */
Violations checkResidency(const std::vector<BackendRecord> &records, const std::map<core::RequestId, CallerRecord> &callers, const HistoryContext &context);

/** @brief Finds requests that were forwarded by another instance than the one that received them from the caller. */
Violations checkSingleForward(const std::vector<ForwardRecord> &forwards, const std::map<core::RequestId, CallerRecord> &callers);

/** @brief Finds calls that must not be repeated but reached a backend server twice. */
Violations checkAtMostOnce(const std::vector<BackendRecord> &records, const std::map<core::RequestId, CallerRecord> &callers, const HistoryContext &context);

/** @brief Finds requests that were refused as not run but reached a backend server. */
Violations checkNotRun(const std::vector<BackendRecord> &records, const std::map<core::RequestId, CallerRecord> &callers);

/** @brief Finds complete answers that differ from the expected one, incomplete ones that are not a prefix of it, and duplicate final answers. */
Violations checkOwnAnswers(const std::map<core::RequestId, CallerRecord> &callers, const HistoryContext &context);

/** @brief Finds callers that did not disconnect and got no final answer within a time. Pauses of the instance that received the request do not count. */
Violations checkAnswered(const std::map<core::RequestId, CallerRecord> &callers, absl::Duration limit);

/** @brief Finds requests that were sent to a backend server or answered after the withdrawal of their key must have reached every instance. */
Violations checkWithdrawn(const std::vector<BackendRecord> &records, const std::map<core::RequestId, CallerRecord> &callers, const HistoryContext &context);

/** @brief Finds revisions that decrease within an incarnation of an instance. */
Violations checkMonotone(const std::vector<ConfigurationRecord> &records);

/** @brief Finds requests that were sent to a backend server after a time. */
Violations checkNoWorkAfter(const std::vector<BackendRecord> &records, const core::BackendServerId &server, absl::Time limit);

} // namespace snipeferry::testing
