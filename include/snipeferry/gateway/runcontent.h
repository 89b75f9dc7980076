#pragma once

#include "snipeferry/gateway/message.h"

#include <string>
#include <vector>

namespace snipeferry::gateway {

/**
 * What of a request may crash the backend servers that run it: a part of its prompt that other requests share, or the request as a whole.
 *
 * Both are named by identifiers of one kind, so that crashes are counted in the same way for each.
 */
class RunContent
{
public:
    RunContent() = default;

    /** @param fingerprint identifier of the request as a whole, by requestFingerprint(); empty if it is not known */
    RunContent(const std::vector<PromptPart> &parts, const std::string &fingerprint = {}); // NOLINT(google-explicit-constructor): parts are content

    /** @brief Identifiers of the shared parts, in their order, and then the fingerprint. */
    const std::vector<std::string> &ids() const;

private:
    std::vector<std::string> m_ids;
};

/**
 * @brief Identifier of a request that is the same for each copy of it: same host, path with query, customer and body.
 *
 * Copies may differ in their own identifier, method, headers, framing and in the instance that they come to.
 */
std::string requestFingerprint(const CallerRequest &request, const core::CustomerId &customer);

/** @brief Whether an identifier is that of a whole request and not of a prompt part. */
bool isRequestFingerprint(const std::string &id);

} // namespace snipeferry::gateway
