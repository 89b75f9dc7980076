#include "snipeferry/net/processname.h"

#include <random>

namespace snipeferry::net {

namespace {

/** Leaves room for more runs than a process can start. */
constexpr std::uint64_t MAX_FIRST_RUN_NUMBER = std::uint64_t{1} << 62U;

} // namespace

void nameProcess(gateway::GatewaySettings &settings, absl::Time now)
{
    std::random_device device;
    settings.self.incarnation = static_cast<core::Incarnation>(absl::ToUnixMillis(now));
    settings.self.bootId = std::uniform_int_distribution<std::uint64_t>(1)(device);
    settings.flow.seed = settings.self.incarnation;
    // Instances of earlier builds know a forwarded request by its number and their peer's identifier alone.
    settings.firstRunNumber = std::uniform_int_distribution<gateway::Number>(1, MAX_FIRST_RUN_NUMBER)(device);
}

} // namespace snipeferry::net
