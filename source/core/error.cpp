#include "snipeferry/core/error.h"

#include <array>

namespace snipeferry::core {

namespace {

constexpr std::size_t KIND_COUNT = static_cast<std::size_t>(ErrorKind::Internal) + 1;

// In the order of ErrorKind, because errorAnswer() uses the kind as an index.
constexpr std::array<ErrorAnswer, KIND_COUNT> ANSWERS = {{
    {ErrorKind::BadRequest, "bad_request", 400, RanState::NotRun, false},
    {ErrorKind::RequestTooLarge, "request_too_large", 413, RanState::NotRun, false},
    {ErrorKind::UnknownKey, "unknown_key", 401, RanState::NotRun, false},
    {ErrorKind::KeyWithdrawn, "key_withdrawn", 401, RanState::NotRun, false},
    {ErrorKind::UnknownService, "unknown_service", 404, RanState::NotRun, false},
    {ErrorKind::UnknownModel, "unknown_model", 404, RanState::NotRun, false},
    {ErrorKind::RegionNotAllowed, "region_not_allowed", 403, RanState::NotRun, false},
    {ErrorKind::RateExceeded, "rate_exceeded", 429, RanState::NotRun, true},
    {ErrorKind::RequestExceedsBurst, "request_exceeds_burst", 400, RanState::NotRun, false},
    {ErrorKind::QueueFull, "queue_full", 503, RanState::NotRun, true},
    {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, RanState::NotRun, true},
    {ErrorKind::NoBackendServer, "no_backend_server", 503, RanState::NotRun, true},
    {ErrorKind::InstanceDraining, "instance_draining", 503, RanState::NotRun, true},
    {ErrorKind::AlreadyForwarded, "already_forwarded", 503, RanState::NotRun, true},
    {ErrorKind::OperationInProgress, "operation_in_progress", 409, RanState::Unknown, true},
    {ErrorKind::OperationOutcomeUnknown, "operation_outcome_unknown", 409, RanState::Unknown, false},
    {ErrorKind::OperationKeyConflict, "operation_key_conflict", 422, RanState::NotRun, false},
    {ErrorKind::PlatformUnavailable, "platform_unavailable", 503, RanState::NotRun, true},
    {ErrorKind::PeerUnavailable, "peer_unavailable", 503, RanState::NotRun, true},
    {ErrorKind::BackendFailed, "backend_failed", 502, RanState::Unknown, false},
    {ErrorKind::BackendTimeout, "backend_timeout", 504, RanState::Unknown, false},
    {ErrorKind::StreamInterrupted, "stream_interrupted", 502, RanState::Ran, false},
    {ErrorKind::CallerGone, "caller_gone", 499, RanState::Unknown, false},
    {ErrorKind::ConfigurationInvalid, "configuration_invalid", 400, RanState::NotRun, false},
    {ErrorKind::ConfigurationConflict, "configuration_conflict", 409, RanState::NotRun, false},
    {ErrorKind::ConfigurationMissing, "configuration_missing", 503, RanState::NotRun, true},
    {ErrorKind::Overloaded, "overloaded", 503, RanState::NotRun, true},
    {ErrorKind::PromptQuarantined, "prompt_quarantined", 503, RanState::NotRun, false},
    {ErrorKind::RequestQuarantined, "request_quarantined", 503, RanState::NotRun, false},
    {ErrorKind::Internal, "internal", 500, RanState::Unknown, false},
}};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return ANSWERS.at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> errorKindByName(const std::string &name)
{
    for (const ErrorAnswer &answer : ANSWERS) {
        if (name == answer.name) {
            return answer.kind;
        }
    }
    return std::nullopt;
}

const char *ranStateName(RanState state)
{
    switch (state) {
    case RanState::NotRun:
        return "not_run";
    case RanState::Ran:
        return "ran";
    case RanState::Unknown:
        break;
    }
    return "unknown";
}

Error makeError(ErrorKind kind, std::string message, std::optional<absl::Duration> retryAfter)
{
    return Error{kind, std::move(message), errorAnswer(kind).ranState, retryAfter};
}

} // namespace snipeferry::core
