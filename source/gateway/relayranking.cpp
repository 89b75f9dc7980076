#include "snipeferry/gateway/relayranking.h"

#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Key under which the members of a region are ranked. */
constexpr const char *RANKING_KEY = "relay";

bool isBetterRelay(const Member *left, const Member *right)
{
    if (left->capacity != right->capacity) {
        return left->capacity > right->capacity;
    }
    return rendezvousWeight(RANKING_KEY, left->id.value()) > rendezvousWeight(RANKING_KEY, right->id.value());
}

} // namespace

std::vector<core::InstanceId> chooseRelays(const std::vector<const Member *> &members)
{
    std::vector<const Member *> ranked;
    for (const Member *member : members) {
        // A member that states no capacity runs an earlier build.
        if (member->capacity > 0) {
            ranked.push_back(member);
        }
    }
    std::sort(ranked.begin(), ranked.end(), isBetterRelay);
    // With one relay in each data centre, a data centre that is cut off from the region keeps its own.
    std::vector<const Member *> relays;
    const auto hasDataCentre = [&relays](const core::DataCentreId &dataCentre) {
        return std::any_of(relays.begin(), relays.end(), [&dataCentre](const Member *relay) { return relay->dataCentre == dataCentre; });
    };
    for (const Member *member : ranked) {
        if (!hasDataCentre(member->dataCentre)) {
            relays.push_back(member);
        }
    }
    for (const Member *member : ranked) {
        if (relays.size() < RELAYS_PER_REGION && std::find(relays.begin(), relays.end(), member) == relays.end()) {
            relays.push_back(member);
        }
    }
    std::vector<core::InstanceId> ids;
    ids.reserve(relays.size());
    for (const Member *relay : relays) {
        ids.push_back(relay->id);
    }
    return ids;
}

} // namespace snipeferry::gateway
