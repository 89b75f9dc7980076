#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/duties/dutyport.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/records.h"

#include <string>
#include <vector>

namespace snipeferry::net {

/** Strategy that writes the records of the duties, and their calls, as one platform has them. */
class DutyFormat
{
public:
    virtual ~DutyFormat() = default;

    /** @brief Whether the duties that a deployment lists contain the usage reports. */
    virtual bool reportsUsage(const std::vector<std::string> &duties) const = 0;

    /** @brief Key of the holder's record. */
    virtual std::string holderKey() const = 0;
    virtual std::string encodeHolder(const duties::HolderRecord &record) const = 0;
    virtual core::Expected<duties::HolderRecord> decodeHolder(const std::string &value) const = 0;

    /** @brief What the keys of all records with sums of usage begin with. */
    virtual std::string usagePrefix() const = 0;
    virtual gateway::Record encodeUsage(const core::RegionId &region, const duties::WindowUsage &usage) const = 0;
    virtual core::Expected<duties::RegionUsage> decodeUsage(const gateway::Record &record) const = 0;

    /** @brief The call that reports the usage of a window. The same report has the same bytes. */
    virtual gateway::HttpRequest usageCall(const std::string &instance, std::int64_t token, const duties::WindowUsage &usage) const = 0;
};

} // namespace snipeferry::net
