#pragma once

#include "snipeferry/core/ids.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <string>
#include <tuple>

/** Equality by the values of the fields. */
#define SNIPEFERRY_COMPARED_BY(Type, ...)                                                                                                                      \
    auto tied() const                                                                                                                                          \
    {                                                                                                                                                          \
        return std::tie(__VA_ARGS__);                                                                                                                          \
    }                                                                                                                                                          \
    friend bool operator==(const Type &left, const Type &right)                                                                                                \
    {                                                                                                                                                          \
        return left.tied() == right.tied();                                                                                                                    \
    }                                                                                                                                                          \
    friend bool operator!=(const Type &left, const Type &right)                                                                                                \
    {                                                                                                                                                          \
        return !(left == right);                                                                                                                               \
    }

/**
 * Support for immutable value types: equality operators and conversion to and from JSON and CBOR, generated from one list of fields.
 *
 * Put SNIPEFERRY_VALUE(Type, field...) as the last line of a struct. The conversions are templates, so that only source files that
 * convert a type spend compile time on them.
 */
#define SNIPEFERRY_VALUE(Type, ...)                                                                                                                            \
    SNIPEFERRY_COMPARED_BY(Type, __VA_ARGS__)                                                                                                                  \
    template<typename BasicJson>                                                                                                                               \
    friend void to_json(BasicJson &nlohmann_json_j, const Type &nlohmann_json_t)                                                                               \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                                                                               \
    }                                                                                                                                                          \
    template<typename BasicJson>                                                                                                                               \
    friend void from_json(const BasicJson &nlohmann_json_j, Type &nlohmann_json_t)                                                                             \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                                                                             \
    }

/**
 * As SNIPEFERRY_VALUE, with one more container that earlier builds do not know. It is left out where it is empty, and empty where it is missing.
 */
#define SNIPEFERRY_EXTENDED_VALUE(Type, added, ...)                                                                                                            \
    SNIPEFERRY_COMPARED_BY(Type, __VA_ARGS__, added)                                                                                                           \
    template<typename BasicJson>                                                                                                                               \
    friend void to_json(BasicJson &nlohmann_json_j, const Type &nlohmann_json_t)                                                                               \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                                                                               \
        if (!nlohmann_json_t.added.empty()) {                                                                                                                  \
            nlohmann_json_j[#added] = nlohmann_json_t.added;                                                                                                   \
        }                                                                                                                                                      \
    }                                                                                                                                                          \
    template<typename BasicJson>                                                                                                                               \
    friend void from_json(const BasicJson &nlohmann_json_j, Type &nlohmann_json_t)                                                                             \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                                                                             \
        nlohmann_json_t.added = nlohmann_json_j.value(#added, decltype(nlohmann_json_t.added)());                                                              \
    }

/**
 * As SNIPEFERRY_EXTENDED_VALUE, with a bool and a duration that earlier builds do not know either. They are left out where they are false and infinite, and
 * have these values where they are missing.
 */
#define SNIPEFERRY_EXTENDED_STATE_VALUE(Type, added, flag, age, ...)                                                                                           \
    SNIPEFERRY_COMPARED_BY(Type, __VA_ARGS__, added, flag, age)                                                                                                \
    template<typename BasicJson>                                                                                                                               \
    friend void to_json(BasicJson &nlohmann_json_j, const Type &nlohmann_json_t)                                                                               \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                                                                               \
        if (!nlohmann_json_t.added.empty()) {                                                                                                                  \
            nlohmann_json_j[#added] = nlohmann_json_t.added;                                                                                                   \
        }                                                                                                                                                      \
        if (nlohmann_json_t.flag) {                                                                                                                            \
            nlohmann_json_j[#flag] = true;                                                                                                                     \
        }                                                                                                                                                      \
        if (nlohmann_json_t.age != absl::InfiniteDuration()) {                                                                                                 \
            nlohmann_json_j[#age] = nlohmann_json_t.age;                                                                                                       \
        }                                                                                                                                                      \
    }                                                                                                                                                          \
    template<typename BasicJson>                                                                                                                               \
    friend void from_json(const BasicJson &nlohmann_json_j, Type &nlohmann_json_t)                                                                             \
    {                                                                                                                                                          \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                                                                             \
        nlohmann_json_t.added = nlohmann_json_j.value(#added, decltype(nlohmann_json_t.added)());                                                              \
        nlohmann_json_t.flag = nlohmann_json_j.value(#flag, false);                                                                                            \
        nlohmann_json_t.age = nlohmann_json_j.value(#age, absl::InfiniteDuration());                                                                           \
    }

namespace nlohmann {

template<typename Tag>
struct adl_serializer<snipeferry::core::Id<Tag>>
{
    static void to_json(json &out, const snipeferry::core::Id<Tag> &id)
    {
        out = id.value();
    }

    static void from_json(const json &in, snipeferry::core::Id<Tag> &id)
    {
        id = snipeferry::core::Id<Tag>(in.get<std::string>());
    }
};

/** Converts durations to and from an integer number of nanoseconds; its largest value stands for an infinite one. */
template<>
struct adl_serializer<absl::Duration>
{
    static void to_json(json &out, const absl::Duration &duration)
    {
        out = absl::ToInt64Nanoseconds(duration);
    }

    static void from_json(const json &in, absl::Duration &duration)
    {
        const std::int64_t nanoseconds = in.get<std::int64_t>();
        duration = nanoseconds == std::numeric_limits<std::int64_t>::max() ? absl::InfiniteDuration() : absl::Nanoseconds(nanoseconds);
    }
};

/** Converts times to and from an integer number of nanoseconds since the Unix epoch. */
template<>
struct adl_serializer<absl::Time>
{
    static void to_json(json &out, const absl::Time &time)
    {
        out = absl::ToUnixNanos(time);
    }

    static void from_json(const json &in, absl::Time &time)
    {
        time = absl::FromUnixNanos(in.get<std::int64_t>());
    }
};

template<typename T>
struct adl_serializer<std::optional<T>>
{
    static void to_json(json &out, const std::optional<T> &value)
    {
        if (value.has_value()) {
            out = *value;
        } else {
            out = nullptr;
        }
    }

    static void from_json(const json &in, std::optional<T> &value)
    {
        if (in.is_null()) {
            value = std::nullopt;
        } else {
            value = in.get<T>();
        }
    }
};

} // namespace nlohmann
