#include "support/history/configurationhistory.h"

namespace snipeferry::history {

using Outcome = configuration::ConfirmResult::Outcome;

std::vector<std::string> findReverts(const ConfigurationHistory &history)
{
    std::vector<std::string> violations;
    std::map<std::string, core::Revision> latest;
    for (const Activation &entry : history.activations) {
        const std::string description = entry.observer + " revision " + std::to_string(entry.revision);
        if (entry.revision <= latest[entry.observer]) {
            violations.push_back(description + " after " + std::to_string(latest[entry.observer]));
        }
        latest[entry.observer] = entry.revision;
        const auto accepted = history.accepted.find(entry.revision);
        if (accepted == history.accepted.end() || accepted->second.content != entry.content) {
            violations.push_back(description + " has a content that was never accepted");
        }
    }
    return violations;
}

std::vector<std::string> findFalseConfirmations(const ConfigurationHistory &history)
{
    std::vector<std::string> violations;
    for (const Confirmation &confirmation : history.confirmations) {
        const auto accepted = history.accepted.find(confirmation.revision);
        const bool wasAccepted = accepted != history.accepted.end() && accepted->second.nonce == confirmation.nonce;
        const bool isFalseAcceptance = confirmation.outcome == Outcome::Accepted && !wasAccepted;
        const bool isFalseRefusal = (confirmation.outcome == Outcome::Refused || confirmation.outcome == Outcome::Unavailable) && wasAccepted;
        if (isFalseAcceptance || isFalseRefusal) {
            violations.push_back("plan " + confirmation.nonce + " was reported as " + configuration::confirmOutcomeName(confirmation.outcome));
        }
    }
    return violations;
}

} // namespace snipeferry::history
