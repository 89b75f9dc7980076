#include "snipeferry/net/readmemory.h"

#include <algorithm>

namespace snipeferry::net {

ReadMemory::ReadMemory(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::size_t ReadMemory::counted(std::size_t partBytes)
{
    return partBytes - std::min(partBytes, FREE_BYTES);
}

bool ReadMemory::update(std::size_t before, std::size_t now)
{
    const std::size_t others = m_bytes - counted(before);
    const std::size_t own = counted(now);
    if (now > before && own > 0 && others + own > m_maxBytes) {
        return false;
    }
    m_bytes = others + own;
    return true;
}

std::size_t ReadMemory::bytes() const
{
    return m_bytes;
}

} // namespace snipeferry::net
