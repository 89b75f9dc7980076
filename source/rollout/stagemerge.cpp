#include "stagemerge.h"

#include <tuple>

namespace snipeferry::rollout {

namespace {

constexpr int RANK_RUNNING = 0;
constexpr int RANK_OVERDUE = 1;
constexpr int RANK_DONE = 2;
constexpr int RANK_FAULT = 3;

int rank(const StageNotice &notice)
{
    if (notice.stage == Stage::Done) {
        return RANK_DONE;
    }
    if (notice.stage == Stage::TakenBack) {
        return notice.isOverdue ? RANK_OVERDUE : RANK_FAULT;
    }
    return RANK_RUNNING;
}

} // namespace

bool isEnded(const StageNotice &notice)
{
    return notice.stage == Stage::Done || notice.stage == Stage::TakenBack;
}

bool supersedes(const StageNotice &left, const StageNotice &right)
{
    const int leftRank = rank(left);
    const int rightRank = rank(right);
    if (leftRank != rightRank || leftRank != RANK_RUNNING) {
        return leftRank > rightRank;
    }
    return std::tie(left.epoch, left.sharePermille) > std::tie(right.epoch, right.sharePermille);
}

} // namespace snipeferry::rollout
