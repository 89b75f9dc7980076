#pragma once

#include "snipeferry/limits/sharelayout.h"

#include <optional>
#include <string>

/**
 * Ownership records of limit slots in the platform's key-value store.
 */
namespace snipeferry::limits {

/** Owner of one slot. An empty owner means that the slot was released. */
struct SlotRecord
{
    core::InstanceId owner;
    core::Incarnation incarnation = 0;
    /** Revision of a configuration. The owner has applied this revision or a newer one, and issues at most the shares of the revision it has applied. */
    core::Revision layout = 0;

    SNIPEFERRY_VALUE(SlotRecord, owner, incarnation, layout)
};

/** @brief Returns the key of a slot's record. */
std::string slotKey(const SlotId &slot);

/** @brief Returns the slot that a key belongs to, or nothing if it is not the key of a slot's record. */
std::optional<SlotId> slotOfKey(const std::string &key);

std::string encodeSlotRecord(const SlotRecord &record);

/** @brief Parses a record; returns nothing if the text is not a valid record. */
std::optional<SlotRecord> parseSlotRecord(const std::string &value);

} // namespace snipeferry::limits
