#include "compression.h"

#include <zlib.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace snipeferry::net {

namespace {

/** A window of 4 KiB holds several messages of the usual size; memory is dear on small machines. */
constexpr int WINDOW_BITS = 12;
constexpr int MEMORY_LEVEL = 4;
/** First byte of a zlib stream with this window. */
constexpr unsigned char FIRST_BYTE = ((WINDOW_BITS - 8) << 4) | Z_DEFLATED;
constexpr std::size_t STEP_BYTES = 4096;

Bytef *bytesOf(const std::string &text)
{
    // The library's interface is older than const; it only reads.
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

struct Compression::Streams
{
    z_stream deflating{};
    z_stream inflating{};
};

Compression::Compression(std::string dictionary)
    : m_streams(new Streams()),
      m_dictionary(std::move(dictionary))
{
    const bool isReady = deflateInit2(&m_streams->deflating, Z_BEST_SPEED, Z_DEFLATED, WINDOW_BITS, MEMORY_LEVEL, Z_DEFAULT_STRATEGY) == Z_OK
        && inflateInit2(&m_streams->inflating, WINDOW_BITS) == Z_OK;
    if (!isReady) {
        throw std::runtime_error("zlib cannot be set up");
    }
}

Compression::~Compression()
{
    deflateEnd(&m_streams->deflating);
    inflateEnd(&m_streams->inflating);
    delete m_streams;
}

std::string Compression::compress(const std::string &bytes)
{
    z_stream &stream = m_streams->deflating;
    deflateReset(&stream);
    deflateSetDictionary(&stream, bytesOf(m_dictionary), static_cast<uInt>(m_dictionary.size()));
    std::string result(deflateBound(&stream, static_cast<uLong>(bytes.size())), '\0');
    stream.next_in = bytesOf(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    stream.next_out = bytesOf(result);
    stream.avail_out = static_cast<uInt>(result.size());
    deflate(&stream, Z_FINISH);
    result.resize(result.size() - stream.avail_out);
    return result;
}

std::optional<std::string> Compression::expand(const std::string &compressed, std::size_t maxBytes)
{
    z_stream &stream = m_streams->inflating;
    inflateReset(&stream);
    stream.next_in = bytesOf(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string result;
    std::array<char, STEP_BYTES> step{};
    int state = Z_OK;
    while (state != Z_STREAM_END) {
        stream.next_out = reinterpret_cast<Bytef *>(step.data());
        stream.avail_out = static_cast<uInt>(step.size());
        state = inflate(&stream, Z_NO_FLUSH);
        if (state == Z_NEED_DICT) {
            state = inflateSetDictionary(&stream, bytesOf(m_dictionary), static_cast<uInt>(m_dictionary.size()));
            continue;
        }
        const std::size_t made = step.size() - stream.avail_out;
        const bool isStuck = state == Z_OK && made == 0;
        if ((state != Z_OK && state != Z_STREAM_END) || isStuck || result.size() + made > maxBytes) {
            return std::nullopt;
        }
        result.append(step.data(), made);
    }
    return result;
}

bool Compression::isCompressed(const std::string &bytes)
{
    return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == FIRST_BYTE;
}

} // namespace snipeferry::net
