#pragma once

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <vector>

namespace snipeferry::configuration {

/** Digests of keys that earlier configurations of this instance contained. Beyond a limit the oldest are removed. */
class WithdrawnKeys
{
public:
    void add(const std::string &digest);

    /** @brief Removes a key that was issued again. */
    void remove(const std::string &digest);

    bool contains(const std::string &digest) const;

private:
    static constexpr std::size_t MAX_KEYS = 65'536;

    absl::flat_hash_set<std::string> m_digests;
    std::deque<std::string> m_order;
};

} // namespace snipeferry::configuration
