#include "intentreader.h"

#include "snipeferry/configuration/intent.h"

#include <algorithm>
#include <limits>

namespace snipeferry::configuration {

namespace {

using settings::YamlMap;

constexpr core::Tokens MAX_TOKENS = core::Tokens{1} << 40;
constexpr std::int64_t MAX_BITS_PER_SECOND = std::int64_t{1} << 50;
constexpr std::int64_t MAX_WEIGHT = 1'000'000;
constexpr std::int64_t MAX_PERMILLE = 1'000;
constexpr std::int64_t MAX_SLOTS = 64;
constexpr absl::Duration MIN_TIME = absl::Milliseconds(1);
constexpr absl::Duration MAX_TIME = absl::Hours(24);

template<typename Item>
Item *findById(std::vector<Item> &items, const std::string &id)
{
    const auto it = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.id.value() == id; });
    return it == items.end() ? nullptr : &*it;
}

template<typename Item>
Item &findOrAdd(std::vector<Item> &items, const std::string &id)
{
    if (Item *existing = findById(items, id)) {
        return *existing;
    }
    Item added;
    added.id = decltype(added.id)(id);
    items.push_back(std::move(added));
    return items.back();
}

template<typename Items>
std::string allowedIds(const Items &items)
{
    std::string ids;
    for (const auto &item : items) {
        ids += (ids.empty() ? "" : ", ") + item.id.value();
    }
    return ids.empty() ? "none is defined" : "one of " + ids;
}

int readInt(YamlMap &map, const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t existing)
{
    return static_cast<int>(map.integer(key, minimum, maximum, existing));
}

template<typename Item>
void removeById(YamlMap &map, const std::string &key, std::vector<Item> &items, bool isBaseKnown)
{
    for (const std::string &name : map.texts(key)) {
        const auto it = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.id.value() == name; });
        if (it != items.end()) {
            items.erase(it);
        } else if (isBaseKnown) {
            map.problem(key, name, allowedIds(items));
        }
    }
}

} // namespace

IntentReader::IntentReader(Configuration &configuration, bool isBaseKnown)
    : m_configuration(configuration),
      m_isBaseKnown(isBaseKnown)
{
}

void IntentReader::read(YamlMap &root)
{
    readRemovals(root.map("remove"));
    readRegions(root.map("regions"));
    readLinks(root);
    readServices(root.map("services"));
    readCustomers(root.map("customers"));
    readRollouts(root.map("rollouts"));
    readWeights(root.map("weights"));
    m_configuration.slotsPerDataCentre = readInt(root, "slots_per_data_centre", 1, MAX_SLOTS, m_configuration.slotsPerDataCentre);
}

void IntentReader::readRemovals(YamlMap removals)
{
    removeById(removals, "regions", m_configuration.regions, m_isBaseKnown);
    removeById(removals, "services", m_configuration.services, m_isBaseKnown);
    removeById(removals, "customers", m_configuration.customers, m_isBaseKnown);
    removeById(removals, "rollouts", m_configuration.rollouts, m_isBaseKnown);
    removals.finish();
}

void IntentReader::readRegions(YamlMap regions)
{
    for (const std::string &name : regions.keys()) {
        YamlMap map = regions.map(name);
        Region &region = findOrAdd(m_configuration.regions, name);
        if (map.has("data_centres")) {
            region.dataCentres.clear();
        }
        YamlMap dataCentres = map.map("data_centres");
        for (const std::string &dataCentreName : dataCentres.keys()) {
            YamlMap dataCentre = dataCentres.map(dataCentreName);
            region.dataCentres.push_back({core::DataCentreId(dataCentreName), readInt(dataCentre, "limit_weight", 0, MAX_WEIGHT, 1)});
            dataCentre.finish();
        }
        if (m_isBaseKnown && region.dataCentres.empty()) {
            map.problem("data_centres", "none", "at least one data centre");
        }
        dataCentres.finish();
        map.finish();
    }
    regions.finish();
}

void IntentReader::readLinks(YamlMap &root)
{
    for (YamlMap &map : root.maps("links")) {
        const std::vector<std::string> ends = map.texts("between");
        RegionLink link;
        link.bitsPerSecond = map.integer("bits_per_second", 1, MAX_BITS_PER_SECOND);
        link.latency = map.duration("latency", absl::ZeroDuration(), MAX_TIME);
        map.finish();
        if (ends.size() != 2) {
            map.problem("between", std::to_string(ends.size()) + " regions", "two regions");
            continue;
        }
        for (const std::string &end : ends) {
            if (m_isBaseKnown && findById(m_configuration.regions, end) == nullptr) {
                map.problem("between", end, allowedIds(m_configuration.regions));
            }
        }
        // Replace an existing link between the two regions.
        link.first = core::RegionId(std::min(ends[0], ends[1]));
        link.second = core::RegionId(std::max(ends[0], ends[1]));
        std::vector<RegionLink> &links = m_configuration.links;
        links.erase(std::remove_if(links.begin(), links.end(),
                        [&](const RegionLink &existing) { return std::minmax(existing.first, existing.second) == std::minmax(link.first, link.second); }),
            links.end());
        links.push_back(link);
    }
}

void IntentReader::readServices(YamlMap services)
{
    for (const std::string &name : services.keys()) {
        YamlMap map = services.map(name);
        Service &service = findOrAdd(m_configuration.services, name);
        service.type = map.choice<ServiceType>(
            "type", {{"model_engine", ServiceType::ModelEngine}, {"plain_service", ServiceType::PlainService}}, std::optional<ServiceType>(service.type));
        service.model = map.text("model", service.model);
        service.version = core::VersionId(requiredText(map, "version", service.version.value()));
        service.deadline = map.duration("deadline", MIN_TIME, MAX_TIME, service.deadline);
        service.holdLimit = map.duration("hold_limit", absl::ZeroDuration(), MAX_TIME, service.holdLimit);
        service.defaultMaxTokens = map.integer("default_max_tokens", 1, MAX_TOKENS, service.defaultMaxTokens);
        if (map.has("routes")) {
            service.routes.clear();
        }
        readRoutes(map.map("routes"), service);
        if (m_isBaseKnown && service.type == ServiceType::ModelEngine && service.model.empty()) {
            map.problem("model", "nothing", "the name that callers send");
        }
        if (m_isBaseKnown && service.type == ServiceType::PlainService && service.routes.empty()) {
            map.problem("routes", "none", "at least one path prefix");
        }
        if (service.holdLimit >= service.deadline) {
            map.problem("hold_limit", absl::FormatDuration(service.holdLimit), "less than the deadline, " + absl::FormatDuration(service.deadline));
        }
        map.finish();
    }
    services.finish();
}

void IntentReader::readRoutes(YamlMap routes, Service &service)
{
    for (const std::string &prefix : routes.keys()) {
        YamlMap map = routes.map(prefix);
        Route route;
        route.pathPrefix = prefix;
        route.isIdempotent = map.flag("idempotent", false);
        route.isOpen = map.flag("open", false);
        route.callCost = map.integer("call_cost", 0, MAX_TOKENS, 1);
        map.finish();
        if (prefix.empty() || prefix.front() != '/') {
            routes.problem(prefix, prefix, "a path that begins with /");
        }
        service.routes.push_back(std::move(route));
    }
    routes.finish();
}

void IntentReader::readCustomers(YamlMap customers)
{
    for (const std::string &name : customers.keys()) {
        YamlMap map = customers.map(name);
        const bool isNew = findById(m_configuration.customers, name) == nullptr;
        Customer &customer = findOrAdd(m_configuration.customers, name);
        const bool isRequired = m_isBaseKnown && isNew;
        customer.ratePerSecond
            = isRequired ? map.integer("rate_per_second", 0, MAX_TOKENS) : map.integer("rate_per_second", 0, MAX_TOKENS, customer.ratePerSecond);
        customer.burst = isRequired ? map.integer("burst", 0, MAX_TOKENS) : map.integer("burst", 0, MAX_TOKENS, customer.burst);
        customer.weight = readInt(map, "weight", 1, MAX_WEIGHT, customer.weight);
        customer.priority = readInt(map, "priority", std::numeric_limits<int>::min(), std::numeric_limits<int>::max(), customer.priority);
        const std::vector<core::RegionId> regions = readReferences<core::RegionId>(map, "allowed_regions", m_configuration.regions);
        if (map.has("allowed_regions")) {
            customer.allowedRegions = regions;
        }
        const std::vector<core::ServiceId> services = readReferences<core::ServiceId>(map, "services", m_configuration.services);
        if (map.has("services")) {
            customer.services = services;
        }
        if ((m_isBaseKnown || map.has("allowed_regions")) && customer.allowedRegions.empty()) {
            map.problem("allowed_regions", "none", allowedIds(m_configuration.regions));
        }
        readKeys(map, customer);
        map.finish();
    }
    customers.finish();
}

void IntentReader::readKeys(YamlMap &map, Customer &customer)
{
    const std::vector<std::string> digests = readDigests(map, "keys");
    if (map.has("keys")) {
        customer.keyDigests = digests;
    }
    for (const std::string &digest : readDigests(map, "issue_keys")) {
        customer.keyDigests.push_back(digest);
    }
    for (const std::string &digest : readDigests(map, "withdraw_keys")) {
        const auto it = std::find(customer.keyDigests.begin(), customer.keyDigests.end(), digest);
        if (it != customer.keyDigests.end()) {
            customer.keyDigests.erase(it);
        } else if (m_isBaseKnown) {
            map.problem("withdraw_keys", "a key that the customer does not have", "keys of this customer");
        }
    }
    // A key must be unique among all customers, and within a customer.
    for (const std::string &digest : customer.keyDigests) {
        std::ptrdiff_t uses = 0;
        for (const Customer &other : m_configuration.customers) {
            uses += std::count(other.keyDigests.begin(), other.keyDigests.end(), digest);
        }
        if (uses > 1) {
            map.problem(map.has("keys") ? "keys" : "issue_keys", "a key that is given twice", "each key once, for one customer");
            return;
        }
    }
}

std::vector<std::string> IntentReader::readDigests(YamlMap &map, const std::string &key)
{
    std::vector<std::string> digests;
    for (const std::string &given : map.texts(key)) {
        std::optional<std::string> digest = keyDigestOf(given);
        if (digest.has_value()) {
            digests.push_back(std::move(*digest));
        } else {
            map.problem(
                key, "a text that is not a key", "a key of 8 or more printable characters without spaces, or sha256: and 64 lower-case hexadecimal digits");
        }
    }
    return digests;
}

void IntentReader::readRollouts(YamlMap rollouts)
{
    for (const std::string &name : rollouts.keys()) {
        YamlMap map = rollouts.map(name);
        const bool isNew = findById(m_configuration.rollouts, name) == nullptr;
        Rollout &rollout = findOrAdd(m_configuration.rollouts, name);
        rollout.service = core::ServiceId(requiredText(map, "service", rollout.service.value()));
        const Service *service = findService(m_configuration, rollout.service);
        if (m_isBaseKnown && service == nullptr) {
            map.problem("service", rollout.service.value(), allowedIds(m_configuration.services));
        }
        // A new rollout starts from the service's current version unless it sets another.
        const std::string serving = service == nullptr ? "" : service->version.value();
        rollout.fromVersion = core::VersionId(map.text("from", isNew ? serving : rollout.fromVersion.value()));
        rollout.toVersion = core::VersionId(requiredText(map, "to", rollout.toVersion.value()));
        if (isNew || map.has("deadline")) {
            rollout.deadline = map.time("deadline");
        }
        rollout.trialSharePermille = readInt(map, "trial_share_permille", 1, MAX_PERMILLE, rollout.trialSharePermille);
        if (rollout.fromVersion == rollout.toVersion) {
            map.problem("to", rollout.toVersion.value(), "a version other than the one it starts from");
        }
        map.finish();
    }
    rollouts.finish();
}

void IntentReader::readWeights(YamlMap weights)
{
    PolicyWeights &existing = m_configuration.weights;
    existing.latencyPermille = readInt(weights, "latency_permille", 0, MAX_WEIGHT, existing.latencyPermille);
    existing.peakCostPermille = readInt(weights, "peak_cost_permille", 0, MAX_WEIGHT, existing.peakCostPermille);
    existing.sentAwayPermille = readInt(weights, "sent_away_permille", 0, MAX_WEIGHT, existing.sentAwayPermille);
    weights.finish();
}

std::string IntentReader::requiredText(YamlMap &map, const std::string &key, const std::string &existing) const
{
    const bool isRequired = m_isBaseKnown && existing.empty();
    return isRequired ? map.text(key) : map.text(key, existing);
}

template<typename Id, typename Items>
std::vector<Id> IntentReader::readReferences(YamlMap &map, const std::string &key, const Items &items) const
{
    std::vector<Id> references;
    for (const std::string &name : map.texts(key)) {
        const bool isKnown = std::any_of(items.begin(), items.end(), [&](const auto &item) { return item.id.value() == name; });
        if (m_isBaseKnown && !isKnown) {
            map.problem(key, name, allowedIds(items));
        }
        references.emplace_back(name);
    }
    return references;
}

} // namespace snipeferry::configuration
