#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/node/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeferry::node {

/**
 * Parses one answer while it is passed to the caller.
 *
 * Splits an event stream into complete server-sent events, counts the events with generated tokens, and keeps a copy of
 * the body up to a maximum size.
 */
class AnswerStream
{
public:
    /** @brief Starts an answer, or continues it after a resumed attempt; an incomplete event of the previous attempt is dropped. */
    void begin(const std::vector<Header> &headers, bool keepBody);

    /**
     * @brief Adds the next chunk of the answer.
     * @return the bytes to pass on; for an event stream these are complete events only
     */
    std::string append(const std::string &data);

    /** @brief Returns and clears the bytes of an incomplete last event, to be passed on when the answer ends without an error. */
    std::string takeIncompleteEvent();

    bool isEventStream() const;

    /** @brief Whether the stream's final [DONE] event was received. */
    bool hasDoneEvent() const;

    /** @brief Number of events with generated tokens that were passed on. */
    std::int64_t tokenEventCount() const;

    /** @brief The complete body, if it was kept and did not exceed the maximum size. */
    std::optional<std::string> body() const;

    /** @brief Token count in the answer's "usage" field, if there is one. */
    std::optional<core::Tokens> reportedUsage() const;

private:
    void countEvents(const std::string &events);

    bool m_isEventStream = false;
    bool m_keepsBody = false;
    bool m_isBodyTooLarge = false;
    bool m_hasDoneEvent = false;
    std::int64_t m_tokenEventCount = 0;
    std::string m_incompleteEvent;
    std::string m_body;
};

} // namespace snipeferry::node
