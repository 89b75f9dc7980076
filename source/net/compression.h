#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace snipeferry::net {

/**
 * Compresses messages that consist of the same names again and again, by the library's zlib format with a preset dictionary.
 *
 * Holds the state of one direction each, a few tens of kilobytes, so that a message costs no set-up.
 */
class Compression
{
public:
    /** @param dictionary text that messages are expected to hold; both sides need the same */
    explicit Compression(std::string dictionary);
    ~Compression();
    Compression(const Compression &) = delete;
    Compression &operator=(const Compression &) = delete;

    std::string compress(const std::string &bytes);

    /** @brief Gives the bytes back; nothing for bytes that compress() did not make, or that are too many. */
    std::optional<std::string> expand(const std::string &compressed, std::size_t maxBytes);

    /** @brief Whether bytes begin as those of compress() do. */
    static bool isCompressed(const std::string &bytes);

private:
    struct Streams;
    Streams *m_streams;
    std::string m_dictionary;
};

} // namespace snipeferry::net
