#include "users/usersmanifest.h"

#include <nlohmann/json.hpp>

namespace snipeferry::standins {

namespace {

using Json = nlohmann::json;

Json route(const char *prefix, const char *kind, const char *service, int timeoutMs, int aimMs, int priority, int attempts)
{
    return {{"name", std::string("r-") + std::string(prefix).substr(1, 3)}, {"host", UsersManifest::HOST}, {"prefix", prefix}, {"kind", kind},
        {"timeoutMs", timeoutMs}, {"targetLatencyMs", aimMs}, {"priority", priority}, {"service", service}, {"maxAttempts", attempts}, {"public", false},
        {"sticky", false}, {"resumable", std::string(prefix) == UsersManifest::PLAN}, {"gapAimMs", 600}, {"homeRegions", Json::array()}};
}

Json service(const char *name, bool isEngine)
{
    Json fields = {{"name", name}, {"healthPath", "/health"}, {"maxConns", 110}, {"protocol", "h1"}, {"tls", false}, {"coldS", 0.0}, {"coldPerS", 0.0}};
    if (isEngine) {
        fields["engine"] = {{"slots", 64}, {"kvCapacity", 458532}, {"kvTokenBytes", 18432}, {"linkMbps", 370000.0}, {"models", {{{"name", "m"}}}}};
    }
    return fields;
}

} // namespace

std::string UsersManifest::json() const
{
    Json routes = {route(PLAN, "streaming", ENGINE, 8000, 1200, 1, 2), route(ANSWER, "streaming", ENGINE, 3000, 800, 0, 2),
        route(RESERVE, "non_idempotent", BOOKING, 2000, 300, 1, 2)};
    if (hasStock) {
        routes.push_back(route(STOCK, "idempotent", BOOKING, 2000, 300, 2, 3));
    }
    Json owners = Json::array();
    for (const UsersTenant &tenant : tenants) {
        owners.push_back({{"name", tenant.name}, {"apiKeys", tenant.keys}, {"priority", 1}, {"unit", "tokens"}, {"plainTokens", 200}, {"ratePerS", tenant.rate},
            {"burst", tenant.rate}, {"homeRegions", Json::array()}});
    }
    const Json limits = {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return Json{
        {"version", version}, {"routes", routes}, {"services", {service(ENGINE, true), service(BOOKING, false)}}, {"limits", limits}, {"tenants", owners}}
        .dump();
}

} // namespace snipeferry::standins
