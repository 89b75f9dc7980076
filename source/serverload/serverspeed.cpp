#include "snipeferry/serverload/serverspeed.h"

#include <algorithm>
#include <cmath>

namespace snipeferry::serverload {

namespace {

/** Bounds of a reading rate in prompt tokens per millisecond, far outside of what engines reach (27 to 251 at the design sizes). */
constexpr double MIN_TOKENS_PER_MS = 4.0;
constexpr double MAX_TOKENS_PER_MS = 2000.0;
/** Runs that read fewer tokens say little of the rate. */
constexpr std::int64_t MIN_LEARNED_TOKENS = 1000;
/** Runs with a shorter expected reading time say little either: an error of 5 ms in the fixed part of the time to the first event would decide. */
constexpr double MIN_LEARNED_MS = 2 * BASE_LATENCY_MS;
/** Part of the prompt that an engine is reading that is done when another request arrives, on average over all times of arrival. */
constexpr double READ_PART = 0.5;
/** Least time that a sample counts as spent on reading, so that a fixed part that was shorter than assumed gives no extreme rate. */
constexpr double MIN_READ_MS = 1.0;
/** A sample counts as at most this many times longer or shorter than the average, so that one run at a stalled backend server does not decide. */
constexpr double MAX_SAMPLE_RATIO = 4.0;
/** Samples as which the rate of the service counts for a backend server, and the initial rate for a service. */
constexpr double PRIOR_WEIGHT = 1.0;
/** Samples over which the average of a backend server reaches: a change of its usual speed is learned within some 20 runs. */
constexpr double SERVER_WEIGHT = 10.0;
/** Samples over which the average of a service reaches, several for each backend server of a region. */
constexpr double SERVICE_WEIGHT = 100.0;
/** If the momentary factor changed by more than this ratio during a run, its mean is uncertain, and the run counts less. */
constexpr double STEADY_RATIO = 1.25;
constexpr double UNSTEADY_WEIGHT = 0.25;

/** Time constant with which a stated momentary cost fades: the time for which a disturbance lasts. */
constexpr double FADING_MS = 600.0;
/** A statement that is older says nothing. */
constexpr double MAX_STATEMENT_AGE_MS = 1000.0;

} // namespace

ReadTime::ReadTime(double maxWeight)
    : m_maxWeight(maxWeight)
{
}

void ReadTime::add(double msPerToken, double weight)
{
    m_weight = std::min(m_maxWeight, m_weight + weight);
    m_msPerToken += std::min(1.0, weight / m_weight) * (msPerToken - m_msPerToken);
}

double ReadTime::average(double priorMsPerToken) const
{
    return (m_weight * m_msPerToken + PRIOR_WEIGHT * priorMsPerToken) / (m_weight + PRIOR_WEIGHT);
}

ServiceSpeed::ServiceSpeed()
    : m_readTime(SERVICE_WEIGHT),
      m_average(1.0 / INITIAL_TOKENS_PER_MS)
{
}

double ServiceSpeed::readRate() const
{
    return 1.0 / m_average;
}

double ServiceSpeed::msPerToken() const
{
    return m_average;
}

void ServiceSpeed::add(double msPerToken, double weight)
{
    m_readTime.add(msPerToken, weight);
    m_average = m_readTime.average(1.0 / INITIAL_TOKENS_PER_MS);
}

ServerSpeed::ServerSpeed()
    : m_readTime(SERVER_WEIGHT)
{
}

bool ServerSpeed::noteMomentaryCost(double cost, absl::Time now)
{
    m_momentaryCost = std::clamp(cost, MIN_MOMENTARY_COST, MAX_MOMENTARY_COST);
    m_statedAt = now;
    return m_momentaryCost == cost;
}

void ServerSpeed::noteAnswer(const RunStart &start, absl::Duration latency, absl::Time now, ServiceSpeed &service)
{
    if (start.tokensToRead < MIN_LEARNED_TOKENS || start.ownTokens <= 0 || start.hasWaitedForSlot) {
        return;
    }
    const double current = m_readTime.average(service.msPerToken());
    if (static_cast<double>(start.tokensToRead) * current < MIN_LEARNED_MS) {
        return;
    }
    const double factorAtEnd = momentaryFactor(now);
    const double factor = (start.momentaryFactor + factorAtEnd) / 2;
    const double change = std::max(start.momentaryFactor, factorAtEnd) / std::min(start.momentaryFactor, factorAtEnd);
    // How much of the work before the request was already done is known only roughly, so a run counts by its own part of the work.
    const double ownPart = static_cast<double>(start.ownTokens) / static_cast<double>(start.tokensToRead);
    const double weight = std::min(1.0, ownPart) * (change > STEADY_RATIO ? UNSTEADY_WEIGHT : 1.0);
    const double readMs = std::max(MIN_READ_MS, absl::ToDoubleMilliseconds(latency) / factor - BASE_LATENCY_MS);
    // When a request arrives, half of the prompt that is being read is done on average. Its size is not known, so the request's own stands for it.
    const std::int64_t ahead = start.tokensToRead - start.ownTokens;
    const double readTokens = static_cast<double>(start.tokensToRead) - static_cast<double>(std::min(ahead, start.ownTokens)) * READ_PART;
    double msPerToken = readMs / readTokens;
    msPerToken = std::clamp(msPerToken, current / MAX_SAMPLE_RATIO, current * MAX_SAMPLE_RATIO);
    msPerToken = std::clamp(msPerToken, 1.0 / MAX_TOKENS_PER_MS, 1.0 / MIN_TOKENS_PER_MS);
    m_readTime.add(msPerToken, weight);
    service.add(msPerToken, weight);
}

double ServerSpeed::readRate(const ServiceSpeed &service) const
{
    return 1.0 / m_readTime.average(service.msPerToken());
}

double ServerSpeed::momentaryFactor(absl::Time now) const
{
    return meanFactor(now, 0);
}

double ServerSpeed::meanFactor(absl::Time now, double usualMs) const
{
    if (m_momentaryCost == 1.0) {
        return 1.0;
    }
    const double ageMs = absl::ToDoubleMilliseconds(now - m_statedAt);
    if (ageMs > MAX_STATEMENT_AGE_MS) {
        return 1.0;
    }
    const double excess = (m_momentaryCost - 1.0) * std::exp(-ageMs / FADING_MS);
    if (usualMs <= 0) {
        return 1.0 + excess;
    }
    return 1.0 + excess * (1.0 - std::exp(-usualMs / FADING_MS)) * FADING_MS / usualMs;
}

} // namespace snipeferry::serverload
