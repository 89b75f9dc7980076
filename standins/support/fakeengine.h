#pragma once

#include "support/requestlog.h"
#include "support/threadedserver.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace snipeferry::standins {

/** How a fake model engine behaves; each can be changed while it runs by POST /control. */
struct EngineBehaviour
{
    int slots = 4;
    std::int64_t firstTokenMs = 5;
    std::int64_t tokenMs = 1;
    std::int64_t tokens = 8;
    /** Answers with this status instead of an answer; 0 for none. */
    std::int64_t status = 0;
    /** Share of requests, in thousandths, that are answered with 500. */
    std::int64_t failPermille = 0;
    /** Closes the connection after this many tokens; negative for never. */
    std::int64_t abortAfterTokens = -1;

    SNIPEFERRY_VALUE(EngineBehaviour, slots, firstTokenMs, tokenMs, tokens, status, failPermille, abortAfterTokens)
};

/** Prompt blocks that a fake engine holds, and the events about them. */
class FakeCache
{
public:
    explicit FakeCache(std::size_t maxBlocks);

    /** @brief Stores blocks; the least recently used ones leave. */
    void store(const std::vector<std::uint64_t> &blocks);

    /** @brief Events after a sequence number that are still kept. */
    nlohmann::json eventsAfter(std::uint64_t sequence) const;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
    };

    const std::size_t m_maxBlocks;
    mutable std::mutex m_mutex;
    std::list<std::uint64_t> m_byUse;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<Event> m_events;
    std::uint64_t m_lastSequence = 0;
};

/**
 * A model engine with an OpenAI-style interface. Its first token repeats the last message of the prompt.
 *
 * Pages beside the chat path: GET /load, GET /cache-events?after=N, GET /log, GET and POST /control.
 */
class FakeEngine
{
public:
    FakeEngine(std::string name, EngineBehaviour behaviour, std::size_t cacheBlocks);

    StandinAnswer handle(const http::HttpRequest &request, const ClientProbe &isClientGone);

private:
    class Generation;

    StandinAnswer chat(const http::HttpRequest &request, const ClientProbe &isClientGone);
    StandinAnswer control(const http::HttpRequest &request);
    EngineBehaviour behaviour() const;
    bool waitForSlot(const ClientProbe &isClientGone);
    void releaseSlot();

    const std::string m_name;
    mutable std::mutex m_mutex;
    std::condition_variable m_hasSlot;
    EngineBehaviour m_behaviour;
    int m_running = 0;
    int m_waiting = 0;
    std::uint64_t m_requests = 0;
    FakeCache m_cache;
    RequestLog m_log;
};

} // namespace snipeferry::standins
