#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/http/httpmessage.h"
#include "snipeferry/http/target.h"

#include <string>
#include <vector>

/**
 * Callers' keys: found, replaced by a digest, and removed from every place that a caller can put one.
 */
namespace snipeferry::http {

/** A request without its caller's key. */
struct KeylessRequest
{
    /** SHA-256 digest of the key in lower-case hexadecimal; empty without a key. */
    std::string keyDigest;
    Target target;
    /** Without headers of keys, cookies and single connections. */
    core::Headers headers;
    /** The body; where it holds the key's bytes they are overwritten. */
    std::string body;
};

/**
 * @brief Takes the key out of a request.
 *
 * Looked for in Authorization with any scheme, headers of API keys, query parameters, cookies and the user info of an
 * absolute URI. All of these places are emptied whether or not they hold the key that counts; other headers and
 * parameters are dropped when they hold its value.
 * @return the request without key; or BadRequest when it carries different keys, or its key in the path
 */
core::Expected<KeylessRequest> takeCallerKey(const HttpRequest &request);

/** @brief SHA-256 digest in lower-case hexadecimal. */
std::string sha256Hex(const std::string &text);

/** @brief Whether a JSON field of a body is a place for keys. */
bool isKeyField(const std::string &name);

} // namespace snipeferry::http
