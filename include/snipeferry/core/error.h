#pragma once

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include <optional>
#include <string>

/**
 * The closed list of error kinds and the table from kind to answer.
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
    Internal,
};

/** Whether a request may have run at a backend server. */
enum class RanState {
    NotRun,
    Unknown,
    Ran,
};

/** What callers see of one error kind. */
struct ErrorAnswer
{
    ErrorKind kind;
    /** Stable name, used in answers, logs and metrics. */
    const char *name;
    int httpStatus;
    /** State reported unless the error itself carries another. */
    RanState ranState;
    /** Whether a later attempt can help; such answers carry Retry-After. */
    bool retryable;
};

/**
 * @brief Looks up the answer for an error kind.
 * @param kind any kind of the list
 * @return the row of the table
 */
const ErrorAnswer &errorAnswer(ErrorKind kind);

/** @brief Finds a kind by its stable name, for decoding peer messages. */
std::optional<ErrorKind> errorKindByName(const std::string &name);

/** @brief Gives the stable name of a state: not_run, unknown or ran. */
const char *ranStateName(RanState state);

/** One failure, as returned by parts and adapters. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /** One English sentence without secrets. */
    std::string message;
    RanState ranState = RanState::NotRun;
    /** When a later attempt can succeed, counted from now. */
    std::optional<absl::Duration> retryAfter;

    friend bool operator==(const Error &left, const Error &right)
    {
        return left.kind == right.kind && left.message == right.message && left.ranState == right.ranState && left.retryAfter == right.retryAfter;
    }
};

/**
 * @brief Builds an error with the run state of its kind's table row.
 * @param kind the kind
 * @param message one English sentence without secrets
 * @param retryAfter when a later attempt can succeed
 */
Error makeError(ErrorKind kind, std::string message, std::optional<absl::Duration> retryAfter = std::nullopt);

template<typename T>
using Expected = tl::expected<T, Error>;

} // namespace snipeferry::core
