#include "enginefleetparts.h"

#include <algorithm>
#include <deque>

// What a test can see of the fleet.
namespace snipeferry::tests {

std::size_t EngineFleet::instanceCount() const
{
    return m_instances.size();
}

std::vector<std::size_t> EngineFleet::instancesOf(std::size_t region) const
{
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index]->region == region) {
            all.push_back(index);
        }
    }
    return all;
}

std::size_t EngineFleet::engineCount() const
{
    return m_engines.size();
}

bool EngineFleet::isEngineUp(std::size_t engine) const
{
    return m_engines[engine]->isUp;
}

std::optional<std::size_t> EngineFleet::engineAtWorkOn(const std::string &part) const
{
    const auto holdsPart = [&part](const Run &run) {
        return std::find(run.sharedParts.begin(), run.sharedParts.end(), part) != run.sharedParts.end();
    };
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (std::any_of(m_engines[engine]->runs.begin(), m_engines[engine]->runs.end(), holdsPart)) {
            return engine;
        }
    }
    return std::nullopt;
}

gateway::Gateway &EngineFleet::gateway(std::size_t instance)
{
    return *m_instances.at(instance)->gateway;
}

FakeJournal &EngineFleet::journal(std::size_t instance)
{
    return m_instances.at(instance)->journal;
}

absl::Time EngineFleet::now() const
{
    return m_clock.now();
}

int EngineFleet::randomInt(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

const std::vector<absl::Time> &EngineFleet::crashes(const std::string &part) const
{
    static const std::vector<absl::Time> none;
    const auto it = m_crashes.find(part);
    return it == m_crashes.end() ? none : it->second;
}

int EngineFleet::arrivals(const std::string &part, absl::Time after) const
{
    return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&part, after](const EngineArrival &arrival) {
        return arrival.at > after && std::find(arrival.sharedParts.begin(), arrival.sharedParts.end(), part) != arrival.sharedParts.end();
    }));
}

int EngineFleet::arrivalsOfBody(const std::string &body, absl::Time after) const
{
    return static_cast<int>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&body, after](const EngineArrival &arrival) { return arrival.body == body && arrival.at > after; }));
}

const std::vector<EngineArrival> &EngineFleet::allArrivals() const
{
    return m_arrivals;
}

core::BackendServerId EngineFleet::engineId(std::size_t engine) const
{
    return m_engines.at(engine)->server.id;
}

int EngineFleet::arrivalsAt(std::size_t engine, absl::Time from, absl::Time to, std::optional<std::size_t> instance) const
{
    const auto isCounted = [&](const EngineArrival &arrival) {
        const bool isOfInstance = !instance.has_value() || arrival.instance == m_instances.at(*instance)->member.id;
        return arrival.at >= from && arrival.at < to && arrival.server == m_engines.at(engine)->server.id && isOfInstance;
    };
    return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(), isCounted));
}

int EngineFleet::mostArrivals(std::size_t engine, absl::Time from, absl::Duration span, absl::Time to) const
{
    std::deque<absl::Time> inSpan;
    std::size_t most = 0;
    for (const EngineArrival &arrival : m_arrivals) {
        if (arrival.at < from || arrival.at >= to || arrival.server != m_engines.at(engine)->server.id) {
            continue;
        }
        inSpan.push_back(arrival.at);
        while (arrival.at - inSpan.front() >= span) {
            inSpan.pop_front();
        }
        most = std::max(most, inSpan.size());
    }
    return static_cast<int>(most);
}

const std::vector<FleetRequest> &EngineFleet::requests() const
{
    return m_requests;
}

double EngineFleet::servedShare(absl::Time from, absl::Time to) const
{
    int sent = 0;
    int served = 0;
    for (const FleetRequest &request : m_requests) {
        if (request.at < from || request.at >= to || isCrashing(request.sharedParts) || m_crashingBodies.count(request.body) > 0) {
            continue;
        }
        ++sent;
        served += request.isServed() ? 1 : 0;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
}

int EngineFleet::logLines(const std::string &event) const
{
    int count = 0;
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        const std::vector<std::string> &lines = instance->journal.lines;
        count += static_cast<int>(
            std::count_if(lines.begin(), lines.end(), [&event](const std::string &line) { return absl::StrContains(line, "event=" + event + " "); }));
    }
    return count;
}

} // namespace snipeferry::tests
