#pragma once

#include "snipeferry/rollout/messages.h"

/**
 * Merges the states of a rollout that two instances know.
 */
namespace snipeferry::rollout {

/** @brief Whether the rollout is done or rolled back. */
bool isEnded(const StageNotice &notice);

/**
 * @brief Whether the left state takes precedence over the right one.
 *
 * Rolled back for a fault takes precedence over done, done over rolled back at the deadline, and that over running. Of two
 * running states the one with the higher epoch takes precedence. This orders all states that are merged, so that instances
 * which exchange their states agree in the end.
 */
bool supersedes(const StageNotice &left, const StageNotice &right);

} // namespace snipeferry::rollout
