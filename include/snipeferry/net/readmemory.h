#pragma once

#include <cstddef>

namespace snipeferry::net {

/**
 * Bytes that have arrived on the connections of a process and wait for the rest of a part of their message: a head, the head of a chunk or a trailer.
 *
 * One object is shared by all connections that read outside bytes. Parts up to FREE_BYTES are not counted, so that ordinary messages are read whatever others
 * hold.
 */
class ReadMemory
{
public:
    static constexpr std::size_t FREE_BYTES = 4096;

    explicit ReadMemory(std::size_t maxBytes);

    /**
     * @brief Changes the size of one connection's unfinished part.
     * @return false if all together would be over the bound; then nothing has changed
     */
    bool update(std::size_t before, std::size_t now);

    std::size_t bytes() const;

private:
    static std::size_t counted(std::size_t partBytes);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
};

} // namespace snipeferry::net
