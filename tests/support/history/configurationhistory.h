#pragma once

#include "snipeferry/configuration/confirmprocedure.h"

#include <map>
#include <string>
#include <vector>

/**
 * Checkers that find violations in a recorded history of configurations and confirmations.
 */
namespace snipeferry::history {

/** Event: a configuration came into force in a process. */
struct Activation
{
    std::string observer;
    core::Revision revision = 0;
    /** Distinguishes different configurations with the same revision. */
    std::string content;
};

/** The result that an operator got for a plan. */
struct Confirmation
{
    std::string nonce;
    core::Revision revision = 0;
    std::string content;
    configuration::ConfirmResult::Outcome outcome = configuration::ConfirmResult::Outcome::Unclear;
};

struct ConfigurationHistory
{
    /** In chronological order. */
    std::vector<Activation> activations;
    std::vector<Confirmation> confirmations;
    /** The plans that the platform accepted, by revision; their outcome is not set. */
    std::map<core::Revision, Confirmation> accepted;
};

/** @brief Finds activations that do not raise the revision of their observer or whose content was not accepted under their revision. */
std::vector<std::string> findReverts(const ConfigurationHistory &history);

/** @brief Finds confirmations whose reported result contradicts the accepted plans. */
std::vector<std::string> findFalseConfirmations(const ConfigurationHistory &history);

} // namespace snipeferry::history
