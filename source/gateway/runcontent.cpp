#include "snipeferry/gateway/runcontent.h"

#include "snipeferry/gateway/answerprogress.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace snipeferry::gateway {

namespace {

/** Identifiers of prompt parts have no colon. */
constexpr const char *FINGERPRINT_PREFIX = "request:";

std::string hexDigest(const std::string &bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16), absl::Hex(hash.low64, absl::kZeroPad16));
}

} // namespace

RunContent::RunContent(const std::vector<PromptPart> &parts, const std::string &fingerprint)
    : m_ids(sharedPartIds(parts))
{
    if (!fingerprint.empty()) {
        m_ids.push_back(fingerprint);
    }
}

const std::vector<std::string> &RunContent::ids() const
{
    return m_ids;
}

std::string requestFingerprint(const CallerRequest &request, const core::CustomerId &customer)
{
    const std::string &caller = customer.isEmpty() ? request.keyDigest : customer.value();
    // The lengths keep a part of one text from being read as a part of the next.
    const std::string whole = absl::StrCat(request.host.size(), ":", request.host, request.http.target.size(), ":", request.http.target, caller.size(), ":",
        caller, request.http.body.size(), ":", hexDigest(request.http.body));
    return absl::StrCat(FINGERPRINT_PREFIX, hexDigest(whole));
}

bool isRequestFingerprint(const std::string &id)
{
    return absl::StartsWith(id, FINGERPRINT_PREFIX);
}

} // namespace snipeferry::gateway
