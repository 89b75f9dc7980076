#include "snipeferry/gateway/answerprogress.h"

#include <absl/strings/str_join.h>

namespace snipeferry::gateway {

std::string answerProgressName(AnswerProgress progress)
{
    return nlohmann::json(progress).get<std::string>();
}

std::vector<std::string> sharedPartIds(const std::vector<PromptPart> &parts)
{
    std::vector<std::string> ids;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        ids.push_back(parts[index].id);
    }
    return ids;
}

std::string describeSharedParts(const std::vector<PromptPart> &parts)
{
    return absl::StrJoin(sharedPartIds(parts), ",");
}

} // namespace snipeferry::gateway
