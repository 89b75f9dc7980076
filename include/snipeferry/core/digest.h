#pragma once

#include <string>

namespace snipeferry::core {

/** @brief SHA-256 digest of the bytes, in lower-case hexadecimal. */
std::string sha256Hex(const std::string &bytes);

} // namespace snipeferry::core
