#pragma once

#include <algorithm>
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

    explicit ReadMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /**
     * @brief Changes the size of one connection's unfinished part.
     * @return false if all together would be over the bound; then nothing has changed
     */
    bool update(std::size_t before, std::size_t now)
    {
        const std::size_t others = m_bytes - counted(before);
        const std::size_t own = counted(now);
        if (now > before && own > 0 && others + own > m_maxBytes) {
            return false;
        }
        m_bytes = others + own;
        return true;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    static std::size_t counted(std::size_t partBytes)
    {
        return partBytes - std::min<std::size_t>(partBytes, FREE_BYTES);
    }

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
};

} // namespace snipeferry::net
