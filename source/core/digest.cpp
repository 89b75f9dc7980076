#include "snipeferry/core/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace snipeferry::core {

std::string sha256Hex(const std::string &bytes)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest);
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest), sizeof(digest)));
}

} // namespace snipeferry::core
