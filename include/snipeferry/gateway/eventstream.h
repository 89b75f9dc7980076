#pragma once

#include <cstdint>
#include <string>

namespace snipeferry::gateway {

/**
 * Cuts a stream of server-sent events into whole events and remembers the last one.
 *
 * Only whole events are passed on, so that an interrupted stream can go on at another backend server behind the last one.
 */
class EventStream
{
public:
    /** @param lastEventId the event that the caller has already; empty for none */
    explicit EventStream(std::string lastEventId = {});

    /** @brief Takes bytes; returns the whole events that became complete, without those that were passed on before. */
    std::string feed(const std::string &data);

    /** @brief Forgets the incomplete event of a run that broke off. */
    void dropPartial();

    /** @brief Bytes of an incomplete event. */
    const std::string &partial() const;

    /** @brief Identifier of the last event passed on, or what the constructor got. */
    const std::string &lastEventId() const;

    /** @brief Events passed on. */
    int eventCount() const;

private:
    bool isNew(const std::string &event);

    std::string m_lastEventId;
    std::string m_partial;
    int m_eventCount = 0;
};

} // namespace snipeferry::gateway
