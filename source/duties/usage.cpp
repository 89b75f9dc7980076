#include "snipeferry/duties/usage.h"

namespace snipeferry::duties {

WindowNumber windowAt(absl::Time wall, absl::Duration length)
{
    absl::Duration rest;
    const WindowNumber window = absl::IDivDuration(wall - absl::UnixEpoch(), length, &rest);
    return rest < absl::ZeroDuration() ? window - 1 : window;
}

absl::Time windowEnd(WindowNumber window, absl::Duration length)
{
    return absl::UnixEpoch() + length * (window + 1);
}

} // namespace snipeferry::duties
