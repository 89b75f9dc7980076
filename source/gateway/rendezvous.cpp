#include "snipeferry/gateway/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace snipeferry::gateway {

double rendezvousWeight(const std::string &key, const std::string &node)
{
    const XXH64_hash_t seed = XXH64(node.data(), node.size(), 0);
    return std::ldexp(static_cast<double>(XXH64(key.data(), key.size(), seed)), -64);
}

core::InstanceId rendezvousFirst(const std::string &key, const std::vector<core::InstanceId> &instances)
{
    core::InstanceId first;
    double highest = -1;
    for (const core::InstanceId &instance : instances) {
        const double weight = rendezvousWeight(key, instance.value());
        if (weight > highest) {
            highest = weight;
            first = instance;
        }
    }
    return first;
}

std::size_t rendezvousRank(const std::string &key, const core::InstanceId &instance, const std::vector<core::InstanceId> &instances)
{
    const double own = rendezvousWeight(key, instance.value());
    const auto isBefore = [&key, own](const core::InstanceId &other) {
        return rendezvousWeight(key, other.value()) > own;
    };
    return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(), isBefore));
}

} // namespace snipeferry::gateway
