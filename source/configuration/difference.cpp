#include "snipeferry/configuration/plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace snipeferry::configuration {

namespace {

using nlohmann::json;

constexpr const char *KEYS_FIELD = "keyDigests";

std::string nameOf(const RegionLink &link)
{
    return link.first.value() + " - " + link.second.value();
}

template<typename Item>
std::string nameOf(const Item &item)
{
    return item.id.value();
}

// Returns the number of issued and withdrawn keys. Neither the keys nor their digests are shown.
std::string describeKeys(const json &before, const json &after)
{
    const auto countMissing = [](const json &from, const json &in) {
        return std::count_if(from.begin(), from.end(), [&](const json &key) { return std::find(in.begin(), in.end(), key) == in.end(); });
    };
    return "keys: " + std::to_string(countMissing(after, before)) + " issued, " + std::to_string(countMissing(before, after)) + " withdrawn";
}

void describeFields(const std::string &subject, const json &before, const json &after, std::vector<std::string> &lines)
{
    for (const auto &[field, value] : after.items()) {
        const json &old = before.at(field);
        if (old == value) {
            continue;
        }
        lines.push_back(subject + ": " + (field == KEYS_FIELD ? describeKeys(old, value) : field + " " + old.dump() + " -> " + value.dump()));
    }
}

template<typename Item>
void describeItems(const std::string &kind, const std::vector<Item> &before, const std::vector<Item> &after, std::vector<std::string> &lines)
{
    std::map<std::string, const Item *> old;
    for (const Item &item : before) {
        old.emplace(nameOf(item), &item);
    }
    for (const Item &item : after) {
        const std::string subject = kind + " " + nameOf(item);
        const auto previous = old.find(nameOf(item));
        if (previous == old.end()) {
            lines.push_back(subject + ": added");
            continue;
        }
        if (*previous->second != item) {
            describeFields(subject, json(*previous->second), json(item), lines);
        }
        old.erase(previous);
    }
    for (const auto &[name, item] : old) {
        std::string line = kind;
        line += " " + name;
        line += ": removed";
        lines.push_back(std::move(line));
    }
}

} // namespace

std::vector<std::string> describeDifference(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> lines;
    describeItems("region", before.regions, after.regions, lines);
    describeItems("link", before.links, after.links, lines);
    describeItems("service", before.services, after.services, lines);
    describeItems("customer", before.customers, after.customers, lines);
    describeItems("rollout", before.rollouts, after.rollouts, lines);
    describeFields("weights", json(before.weights), json(after.weights), lines);
    if (before.slotsPerDataCentre != after.slotsPerDataCentre) {
        lines.push_back("slots per data centre: " + std::to_string(before.slotsPerDataCentre) + " -> " + std::to_string(after.slotsPerDataCentre));
    }
    return lines;
}

} // namespace snipeferry::configuration
