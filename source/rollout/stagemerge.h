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
 * The order, highest first: rolled back for a fault, done, rolled back at the deadline, running. Of two running states the
 * one with the higher epoch takes precedence; at the same epoch, the one with the larger share. Instances that exchange their
 * states therefore agree in the end.
 */
bool supersedes(const StageNotice &left, const StageNotice &right);

} // namespace snipeferry::rollout
