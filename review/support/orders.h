#pragma once

#include "stage.h"

#include <map>
#include <string>
#include <vector>

namespace snipeferry::review {

/** Sends one order after the other on each of some kept connections. */
class Orders
{
public:
    Orders(Stage &stage, const Gateway &gateway, std::size_t channels);

    /** @brief Sends an order on each connection that has none in work. */
    void sendNext();

    /** @brief Orders that ran, came on a kept connection and ended with it, without an answer. */
    int cutCount() const;

private:
    Stage &m_stage;
    const Gateway &m_gateway;
    std::vector<soak::KeptConnections> m_connections;
    std::vector<std::string> m_last;
    std::map<std::string, bool> m_isKept;
    int m_count = 0;
};

} // namespace snipeferry::review
