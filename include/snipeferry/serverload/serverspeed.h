#pragma once

#include "snipeferry/core/value.h"

#include <absl/time/time.h>

#include <cstdint>

/**
 * How fast backend servers are: usually, as their answers show, and at this moment, as they state it themselves.
 *
 * The code in this namespace uses no sockets, threads or system clocks.
 */
namespace snipeferry::serverload {

/** Prompt tokens per millisecond that an engine is assumed to read before any answer has shown more. */
constexpr double INITIAL_TOKENS_PER_MS = 45.0;
/** Part of the time to the first event that does not depend on the prompt: connection, scheduling and one decoding step. */
constexpr double BASE_LATENCY_MS = 15.0;

/** What is known at the start of a run and needed when it is answered. The default value says that nothing is known. */
struct RunStart
{
    /** Prompt tokens of the request and of those that the backend server reads before it. */
    std::int64_t tokensToRead = 0;
    /** Prompt tokens of the request itself. */
    std::int64_t ownTokens = 0;
    /** All slots were taken, so that the time to the first data contains a wait for the end of other runs. */
    bool hasWaitedForSlot = false;
    /** Momentary factor of the backend server at the start. */
    double momentaryFactor = 1.0;

    SNIPEFERRY_VALUE(RunStart, tokensToRead, ownTokens, hasWaitedForSlot, momentaryFactor)
};

/** Moving average of the milliseconds for which an engine reads one prompt token. */
class ReadTime
{
public:
    /** @param maxWeight samples of weight 1 over which is averaged */
    explicit ReadTime(double maxWeight);

    /** @brief Adds a sample in ms per token. */
    void add(double msPerToken, double weight);
    /** @brief The average in ms per token, with a prior value that counts as much as PRIOR_WEIGHT samples. */
    double average(double priorMsPerToken) const;

private:
    double m_maxWeight;
    double m_weight = 0;
    double m_msPerToken = 0;
};

/** How fast the engines of a service read prompts on average. */
class ServiceSpeed
{
public:
    ServiceSpeed();

    /** @brief Prompt tokens per millisecond. */
    double readRate() const;
    /** @brief Milliseconds per prompt token. */
    double msPerToken() const;
    void add(double msPerToken, double weight);

private:
    ReadTime m_readTime;
    double m_average;
};

/** How fast one backend server is: its usual reading rate, learned from its answers, and its momentary cost, as it states it. */
class ServerSpeed
{
public:
    /** Bounds of the momentary cost that is used. A stated one outside has little to do with the work, or is false. */
    static constexpr double MIN_MOMENTARY_COST = 0.25;
    static constexpr double MAX_MOMENTARY_COST = 4.0;

    ServerSpeed();

    /**
     * @brief Takes the momentary cost over that the backend server states.
     * @param cost 1.0 is usual
     * @return whether it was within the bounds; otherwise the nearest bound is used
     */
    bool noteMomentaryCost(double cost, absl::Time now);

    /**
     * @brief Learns from the time to the first data of a run that did not fail.
     * @param service the speed of its service, which learns too
     */
    void noteAnswer(const RunStart &start, absl::Duration latency, absl::Time now, ServiceSpeed &service);

    /** @brief Prompt tokens that the backend server usually reads per millisecond. */
    double readRate(const ServiceSpeed &service) const;

    /** @brief Whether the last stated momentary cost was the usual one, so that all its factors are 1.0. */
    bool isUsual() const
    {
        return m_momentaryCost == 1.0;
    }

    /** @brief How long work takes now in proportion to what is usual: 1.0 if nothing was stated in the last second. */
    double momentaryFactor(absl::Time now) const;

    /**
     * @brief Mean of the momentary factor over work that begins now.
     * @param usualMs milliseconds that the work usually takes
     */
    double meanFactor(absl::Time now, double usualMs) const;

private:
    ReadTime m_readTime;
    double m_momentaryCost = 1.0;
    absl::Time m_statedAt = absl::InfinitePast();
};

} // namespace snipeferry::serverload
