#include "support/usersfleet.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

namespace snipeferry::testing {

GatewayAddresses gatewayAddresses(int index)
{
    constexpr int NUMBERS = 250;
    const int process = static_cast<int>(getpid());
    const std::string host = absl::StrCat("127.", 1 + (process / NUMBERS) % NUMBERS, ".", 1 + process % NUMBERS, ".", index, ":");
    return {host + "7001", host + "7002", host + "7003", host + "7004", host + "7005"};
}

std::string gatewaySettingsText(
    const GatewayPlace &place, const GatewayAddresses &addresses, const std::string &storeAddress, const std::map<std::string, std::string> &dataCentres)
{
    std::string text = absl::StrCat("instance: ", place.instance, "\ndata_centre: ", place.dataCentre, "\nregion: ", place.region, "\ndata_centres:\n");
    for (const auto &entry : dataCentres) {
        absl::StrAppend(&text, "  ", entry.first, ": ", entry.second, "\n");
    }
    absl::StrAppend(&text, "listen:\n  callers: \"", addresses.callers, "\"\n  directory: \"", addresses.directory, "\"\n  readiness: \"", addresses.readiness,
        "\"\n  peers: \"", addresses.peers, "\"\n  metrics: \"", addresses.metrics, "\"\n");
    absl::StrAppend(&text, "store:\n  address: \"", storeAddress, "\"\n");
    absl::StrAppend(&text, "promises:\n  key_withdrawal: 5000ms\n  repeat_share: 0.2\n  allowance_slack: 2000\n  allowance_excess: 0.1\n",
        "  repeat_slack: 56\n  repeat_window: 10s\n  stop_grace: 8s\n");
    return text;
}

} // namespace snipeferry::testing
