#pragma once

#include "support/loopthread.h"
#include "support/process.h"
#include "users/faultproxy.h"
#include "users/usersmanifest.h"
#include "users/usersrunner.h"
#include "users/usersstore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::testing {

/** Addresses of one gateway process; each has an address of the loopback network to itself. */
struct GatewayAddresses
{
    std::string callers;
    std::string directory;
    std::string readiness;
    std::string peers;
    std::string metrics;
};

/** @brief Addresses that no other process of this machine's tests uses. @param index from 1 to 250 */
GatewayAddresses gatewayAddresses(int index);

/** What a gateway process is told. */
struct GatewayPlace
{
    std::string instance;
    std::string dataCentre;
    std::string region;
};

/** @brief Settings of one gateway, as the deploy template fills them in. Promises are the users'; some rates are smaller. */
std::string gatewaySettingsText(
    const GatewayPlace &place, const GatewayAddresses &addresses, const std::string &storeAddress, const std::map<std::string, std::string> &dataCentres);

} // namespace snipeferry::testing
