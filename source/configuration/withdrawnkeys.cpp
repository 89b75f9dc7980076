#include "withdrawnkeys.h"

namespace snipeferry::configuration {

void WithdrawnKeys::add(const std::string &digest)
{
    if (!m_digests.insert(digest).second) {
        return;
    }
    m_order.push_back(digest);
    if (m_order.size() > MAX_KEYS) {
        m_digests.erase(m_order.front());
        m_order.pop_front();
    }
}

void WithdrawnKeys::remove(const std::string &digest)
{
    m_digests.erase(digest);
}

bool WithdrawnKeys::contains(const std::string &digest) const
{
    return m_digests.contains(digest);
}

} // namespace snipeferry::configuration
