#include "snipeferry/operations/operationdecision.h"

#include <utility>

namespace snipeferry::operations {

OperationDecision runDecision(const core::RequestId &request)
{
    return {request, OperationDecision::Verdict::Run, std::nullopt, std::nullopt};
}

OperationDecision replayDecision(const core::RequestId &request, StoredAnswer answer)
{
    return {request, OperationDecision::Verdict::Replay, std::move(answer), std::nullopt};
}

OperationDecision refuseDecision(const core::RequestId &request, core::Error refusal)
{
    return {request, OperationDecision::Verdict::Refuse, std::nullopt, std::move(refusal)};
}

} // namespace snipeferry::operations
