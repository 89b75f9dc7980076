#include "soak/history.h"

#include <absl/strings/match.h>

namespace snipeferry::soak {

std::string headerOf(const standins::RunSeen &run, const char *name)
{
    for (const gateway::Header &header : run.request.headers) {
        if (absl::EqualsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

} // namespace snipeferry::soak
