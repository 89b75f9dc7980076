#pragma once

namespace snipeferry::cli {

/** Exit codes of the operators' tool; docs/CLI.md lists them. */
enum ExitCode {
    Done = 0,
    WrongUsage = 2,
    /** An intent or plan file is wrong, or nothing would change. */
    InvalidFile = 3,
    /** Another plan was accepted on the same base; this one never takes effect. */
    Refused = 4,
    /** Platform or instance cannot be reached; nothing was changed. */
    Unavailable = 5,
    /** It cannot be told whether the change took effect; confirming the same plan again settles it. */
    Unclear = 6,
    /** The instance answered with an error. */
    InstanceError = 7,
};

} // namespace snipeferry::cli
