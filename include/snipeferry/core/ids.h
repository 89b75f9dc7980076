#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/**
 * Distinct identifier types, so that a customer id cannot be passed where a region id is expected.
 */
namespace snipeferry::core {

/**
 * An identifier of one kind of object, such as a customer.
 * @tparam Tag a type that names the kind; never defined
 */
template<typename Tag>
class Id
{
public:
    Id() = default;

    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    friend bool operator==(const Id &left, const Id &right)
    {
        return left.m_value == right.m_value;
    }

    friend bool operator!=(const Id &left, const Id &right)
    {
        return !(left == right);
    }

    friend bool operator<(const Id &left, const Id &right)
    {
        return left.m_value < right.m_value;
    }

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const Id &id) // NOLINT(readability-identifier-naming): name fixed by Abseil
    {
        return Hash::combine(std::move(state), id.m_value);
    }

private:
    std::string m_value;
};

using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using InstanceId = Id<struct InstanceTag>;
using BackendServerId = Id<struct BackendServerTag>;
using CustomerId = Id<struct CustomerTag>;
using ServiceId = Id<struct ServiceTag>;
using VersionId = Id<struct VersionTag>;
using RolloutId = Id<struct RolloutTag>;
using RequestId = Id<struct RequestTag>;

/** Distinguishes successive processes of one instance. A later process has a higher number. */
using Incarnation = std::uint64_t;

/** Number of model tokens, or of calls for a service without a model. */
using Tokens = std::int64_t;

/** Number of an accepted configuration. A later configuration has a higher number. */
using Revision = std::int64_t;

} // namespace snipeferry::core

namespace std {
template<typename Tag>
struct hash<snipeferry::core::Id<Tag>>
{
    std::size_t operator()(const snipeferry::core::Id<Tag> &id) const
    {
        return std::hash<std::string>{}(id.value());
    }
};
} // namespace std
