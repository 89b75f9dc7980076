#pragma once

#include "snipeferry/gateway/promptevidence.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

namespace snipeferry::gateway {

/** When runs with each of many parts last ended well. Of more than it holds it forgets those that it heard of first. */
class ClearanceLog
{
public:
    /** @param capacity entries in each of two generations */
    explicit ClearanceLog(std::size_t capacity);

    /** @brief Time at which a run with the part last ended well; InfinitePast if that is not known. */
    absl::Time last(const PartKey &key) const;

    void note(const PartKey &key, absl::Time at);

private:
    std::size_t m_capacity;
    /** If the newer generation is full, it replaces the older one. */
    absl::flat_hash_map<PartKey, absl::Time> m_newer;
    absl::flat_hash_map<PartKey, absl::Time> m_older;
};

} // namespace snipeferry::gateway
