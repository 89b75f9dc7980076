#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipeferry::gateway {

/**
 * Splits a stream of server-sent events into complete events and remembers the identifier of the last one.
 *
 * Only complete events are passed on. An interrupted stream can therefore continue at another backend server after its last event.
 */
class EventStream
{
public:
    /** @param lastEventId the last event that the caller already has; empty if none */
    explicit EventStream(std::string lastEventId = {});

    /**
     * @brief Adds received bytes.
     * @return the events that are now complete, except those that were passed on before
     */
    std::string feed(const std::string &data);

    /** @brief Whether the incomplete event is longer than any event of a sound stream. */
    bool isPartialTooLong() const;

    /** @brief Discards the incomplete event of an interrupted run. */
    void dropPartial();

    /** @brief Received bytes of the incomplete event. */
    const std::string &partial() const;

    /** @brief Identifier of the last event passed on, or the constructor's argument if there was none. */
    const std::string &lastEventId() const;

    /** @brief Number of events passed on. */
    int eventCount() const;

private:
    /** Whether an event was not passed on before; if so, remembers its identifier. */
    bool acceptIfNew(const std::string &event);

    std::string m_lastEventId;
    std::string m_partial;
    /** Number of bytes of the incomplete event in which no end of an event begins. */
    std::size_t m_searchedBytes = 0;
    int m_eventCount = 0;
};

} // namespace snipeferry::gateway
