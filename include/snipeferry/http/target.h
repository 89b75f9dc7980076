#pragma once

#include "snipeferry/core/error.h"

#include <string>
#include <vector>

namespace snipeferry::http {

/** One parameter of a query; both parts are percent-decoded. */
struct QueryParameter
{
    std::string name;
    std::string value;
    /** As it was sent. */
    std::string raw;
};

/** The parts of a request's target. */
struct Target
{
    /** Normalised path: no dot segments, no empty segments, unreserved characters not encoded. */
    std::string path;
    std::vector<QueryParameter> query;
    /** Percent-decoded user info of an absolute URI, or empty. */
    std::string userInfo;

    /** @brief Path with the query that is left. */
    std::string pathAndQuery() const;
};

/**
 * @brief Takes a target apart.
 * @return the parts; or BadRequest for a path that two readers could understand differently
 */
core::Expected<Target> parseTarget(const std::string &target);

/** @brief Replaces percent escapes and, in queries, plus signs; wrong escapes stay as they are. */
std::string decodePercent(const std::string &text, bool isPlusSpace);

} // namespace snipeferry::http
