#pragma once

#include "support/requestlog.h"
#include "support/threadedserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace snipeferry::standins {

/** How a fake plain service behaves; each can be changed while it runs by POST /control. */
struct ServiceBehaviour
{
    std::int64_t delayMs = 0;
    /** Answers that are lost after the effect: the connection closes instead. Counts down. */
    std::int64_t answersToLose = 0;
    /** Answers with this status and without effect; 0 for none. */
    std::int64_t status = 0;
    /** Refuses fencing numbers below the highest that it has seen. */
    bool checksFencing = false;

    SNIPEFERRY_VALUE(ServiceBehaviour, delayMs, answersToLose, status, checksFencing)
};

/**
 * A plain service whose POST, PUT, PATCH and DELETE calls have an effect that it counts by the body's field "id".
 *
 * Pages: GET /effects, GET /log, GET and POST /control; every other GET only reads.
 */
class FakeService
{
public:
    explicit FakeService(ServiceBehaviour behaviour);

    StandinAnswer handle(const http::HttpRequest &request);

private:
    StandinAnswer control(const http::HttpRequest &request);
    StandinAnswer call(const http::HttpRequest &request);
    bool isFencedOff(const http::HttpRequest &request);

    std::mutex m_mutex;
    ServiceBehaviour m_behaviour;
    std::map<std::string, std::int64_t> m_effects;
    std::uint64_t m_highestFencing = 0;
    RequestLog m_log;
};

} // namespace snipeferry::standins
