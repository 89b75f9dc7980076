#include "snipeferry/http/erroranswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeferry::http {

namespace {

constexpr absl::Duration DEFAULT_RETRY_AFTER = absl::Seconds(1);

} // namespace

std::string errorBody(const core::Error &error, const std::string &requestId)
{
    nlohmann::json fields = {
        {"type", core::errorAnswer(error.kind).name},
        {"code", core::errorAnswer(error.kind).name},
        {"message", error.message},
        {"ran", core::ranStateName(error.ranState)},
        {"request_id", requestId},
    };
    if (error.retryAfter.has_value()) {
        fields["retry_after_ms"] = absl::ToInt64Milliseconds(*error.retryAfter);
    }
    return nlohmann::json{{"error", fields}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpAnswer errorAnswer(const core::Error &error, const std::string &requestId)
{
    const core::ErrorAnswer &row = core::errorAnswer(error.kind);
    HttpAnswer answer = jsonAnswer(row.httpStatus, errorBody(error, requestId));
    if (!requestId.empty()) {
        answer.headers.push_back({"X-Request-Id", requestId});
    }
    if (row.retryable) {
        // Retry-After counts whole seconds; rounding up never invites a caller too early.
        const absl::Duration wait = absl::Ceil(error.retryAfter.value_or(DEFAULT_RETRY_AFTER), absl::Seconds(1));
        answer.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, absl::ToInt64Seconds(wait)))});
    }
    return answer;
}

std::string errorEvent(const core::Error &error, const std::string &requestId)
{
    return "event: error\ndata: " + errorBody(error, requestId) + "\n\n";
}

HttpAnswer jsonAnswer(int status, const std::string &body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = body;
    return answer;
}

} // namespace snipeferry::http
