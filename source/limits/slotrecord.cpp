#include "snipeferry/limits/slotrecord.h"

#include "snipeferry/platform/keys.h"

#include <absl/strings/numbers.h>

namespace snipeferry::limits {

std::string slotKey(const SlotId &slot)
{
    return platform::LIMIT_SLOT_PREFIX + slot.dataCentre.value() + "/" + std::to_string(slot.index);
}

std::optional<SlotId> slotOfKey(const std::string &key)
{
    const std::string prefix = platform::LIMIT_SLOT_PREFIX;
    const std::size_t slash = key.rfind('/');
    if (key.compare(0, prefix.size(), prefix) != 0 || slash < prefix.size()) {
        return std::nullopt;
    }
    SlotId slot{core::DataCentreId(key.substr(prefix.size(), slash - prefix.size())), 0};
    if (!absl::SimpleAtoi(key.substr(slash + 1), &slot.index)) {
        return std::nullopt;
    }
    return slot;
}

std::string encodeSlotRecord(const SlotRecord &record)
{
    return nlohmann::json(record).dump();
}

std::optional<SlotRecord> parseSlotRecord(const std::string &value)
{
    const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    if (document.is_discarded()) {
        return std::nullopt;
    }
    try {
        return document.get<SlotRecord>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace snipeferry::limits
