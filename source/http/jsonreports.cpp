#include "snipeferry/http/backendmonitor.h"

#include <nlohmann/json.hpp>

namespace snipeferry::http {

namespace {

using nlohmann::json;

class JsonReports : public ReportFormat
{
public:
    std::string loadPath() const override
    {
        return "/load";
    }

    std::optional<messages::LoadReported> readLoad(const core::BackendServerId &server, const std::string &body) const override
    {
        const json answer = json::parse(body, nullptr, false);
        if (!answer.is_object() || !isCount(answer, "running") || !isCount(answer, "waiting")) {
            return std::nullopt;
        }
        return messages::LoadReported{server, answer["running"].get<int>(), answer["waiting"].get<int>()};
    }

    std::string cacheEventsPath(std::uint64_t after) const override
    {
        return "/cache-events?after=" + std::to_string(after);
    }

    std::vector<messages::CacheReported> readCacheEvents(const core::BackendServerId &server, const std::string &body) const override
    {
        std::vector<messages::CacheReported> events;
        const json answer = json::parse(body, nullptr, false);
        try {
            for (const json &event : answer.at("events")) {
                events.push_back({server, event.at("sequence").get<std::uint64_t>(), event.at("stored").get<std::vector<std::uint64_t>>(),
                    event.at("evicted").get<std::vector<std::uint64_t>>()});
            }
        } catch (const json::exception &) {
            // Events before the wrong one are good; a gap is nothing unusual.
            return events;
        }
        return events;
    }

private:
    static bool isCount(const json &object, const char *name)
    {
        return object.contains(name) && object[name].is_number_unsigned();
    }
};

} // namespace

std::unique_ptr<ReportFormat> makeJsonReports()
{
    return std::make_unique<JsonReports>();
}

} // namespace snipeferry::http
