#pragma once

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include <optional>
#include <string>

/**
 * All error kinds, and the answer that a caller gets for each.
 */
namespace snipeferry::core {

enum class ErrorKind {
    BadRequest,
    RequestTooLarge,
    UnknownKey,
    KeyWithdrawn,
    UnknownService,
    UnknownModel,
    RegionNotAllowed,
    RateExceeded,
    RequestExceedsBurst,
    QueueFull,
    DeadlineUnreachable,
    NoBackendServer,
    InstanceDraining,
    AlreadyForwarded,
    OperationInProgress,
    OperationOutcomeUnknown,
    OperationKeyConflict,
    PlatformUnavailable,
    PeerUnavailable,
    BackendFailed,
    BackendTimeout,
    StreamInterrupted,
    CallerGone,
    ConfigurationInvalid,
    ConfigurationConflict,
    ConfigurationMissing,
    Overloaded,
    PromptQuarantined,
    RequestQuarantined,
    Internal,
};

/** Whether a backend server has run a request. Unknown if it may or may not have. */
enum class RanState {
    NotRun,
    Unknown,
    Ran,
};

/** The answer that callers get for one error kind. */
struct ErrorAnswer
{
    ErrorKind kind;
    /** Stable name, used in answers, logs and metrics. */
    const char *name;
    int httpStatus;
    /** Run state of errors of this kind, unless an error sets another. */
    RanState ranState;
    /** Whether a later attempt can succeed. If so, the answer has a Retry-After header. */
    bool retryable;
};

/**
 * @brief Returns the answer for an error kind.
 * @param kind any error kind
 * @return the row of the table
 */
const ErrorAnswer &errorAnswer(ErrorKind kind);

/** @brief Returns the kind with a stable name, for decoding peer messages; nothing for an unknown name. */
std::optional<ErrorKind> errorKindByName(const std::string &name);

/** @brief Returns the stable name of a run state: not_run, unknown or ran. */
const char *ranStateName(RanState state);

/** An error that an operation returns. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /** One English sentence. Must not contain secrets such as API keys. */
    std::string message;
    RanState ranState = RanState::NotRun;
    /** Time from now after which a later attempt can succeed. */
    std::optional<absl::Duration> retryAfter;

    friend bool operator==(const Error &left, const Error &right)
    {
        return left.kind == right.kind && left.message == right.message && left.ranState == right.ranState && left.retryAfter == right.retryAfter;
    }
};

/**
 * @brief Creates an error with the run state that errorAnswer() has for the kind.
 * @param kind the error kind
 * @param message one English sentence; must not contain secrets
 * @param retryAfter time from now after which a later attempt can succeed
 */
Error makeError(ErrorKind kind, std::string message, std::optional<absl::Duration> retryAfter = std::nullopt);

template<typename T>
using Expected = tl::expected<T, Error>;

} // namespace snipeferry::core
