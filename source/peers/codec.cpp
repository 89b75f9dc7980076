#include "snipeferry/peers/codec.h"

#include <array>
#include <cmath>
#include <exception>
#include <utility>
#include <vector>

namespace snipeferry::peers {

namespace {

using Json = nlohmann::json;
using messages::PeerMessage;

constexpr std::size_t MESSAGE_TYPE_COUNT = std::variant_size_v<PeerMessage>;
constexpr std::size_t FRAME_ELEMENT_COUNT = 3;
/** Largest absolute value of a floating-point number. No field of a message holds a larger one, so larger ones are refused. */
constexpr double MAX_FLOAT = 1e18;

/** Scans a frame without storing its values and stops at the first one that exceeds a limit. */
class FrameLimitChecker : public Json::json_sax_t
{
public:
    bool null() override
    {
        return countValue();
    }

    bool boolean(bool /*value*/) override
    {
        return countValue();
    }

    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return countValue();
    }

    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return countValue();
    }

    bool number_float(number_float_t value, const string_t & /*text*/) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return std::abs(value) <= MAX_FLOAT && countValue();
    }

    bool string(string_t & /*value*/) override
    {
        return countValue();
    }

    bool binary(binary_t & /*value*/) override
    {
        return countValue();
    }

    bool start_object(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return enterLevel();
    }

    bool key(string_t & /*value*/) override
    {
        return countValue();
    }

    bool end_object() override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        --m_level;
        return true;
    }

    bool start_array(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return enterLevel();
    }

    bool end_array() override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        --m_level;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, // NOLINT(readability-identifier-naming): name fixed by the library
        const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool countValue()
    {
        return ++m_values <= MAX_FRAME_VALUES;
    }

    bool enterLevel()
    {
        return ++m_level <= MAX_NESTING_LEVELS && countValue();
    }

    std::size_t m_level = 0;
    std::size_t m_values = 0;
};

template<std::size_t NUMBER>
PeerMessage readBody(const Json &body)
{
    return body.get<std::variant_alternative_t<NUMBER, PeerMessage>>();
}

using BodyReader = PeerMessage (*)(const Json &);

template<std::size_t... NUMBERS>
constexpr std::array<BodyReader, sizeof...(NUMBERS)> bodyReaders(std::index_sequence<NUMBERS...> /*numbers*/)
{
    return {&readBody<NUMBERS>...};
}

/** Functions that decode a message body, by message number. */
constexpr std::array<BodyReader, MESSAGE_TYPE_COUNT> BODY_READERS = bodyReaders(std::make_index_sequence<MESSAGE_TYPE_COUNT>());

tl::unexpected<core::Error> malformed(const std::string &what)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "Malformed peer message: " + what + "."));
}

core::Expected<PeerMessage> readMessage(const Json &frameArray)
{
    if (!frameArray.is_array() || frameArray.size() != FRAME_ELEMENT_COUNT || !frameArray[0].is_number_unsigned() || !frameArray[1].is_number_unsigned()) {
        return malformed("not an array of version, number and body");
    }
    if (frameArray[0].get<std::uint64_t>() != PROTOCOL_VERSION) {
        return malformed("protocol version " + std::to_string(frameArray[0].get<std::uint64_t>()));
    }
    const std::uint64_t number = frameArray[1].get<std::uint64_t>();
    if (number >= MESSAGE_TYPE_COUNT) {
        return malformed("message number " + std::to_string(number));
    }
    return BODY_READERS.at(number)(frameArray[2]);
}

} // namespace

std::string encode(const messages::PeerMessage &message)
{
    Json frameArray = Json::array({PROTOCOL_VERSION, message.index()});
    frameArray.push_back(std::visit([](const auto &body) { return Json(body); }, message));
    std::string frame;
    Json::to_cbor(frameArray, frame);
    return frame;
}

core::Expected<messages::PeerMessage> decode(const std::string &frame)
{
    try {
        // Check the limits first: from_cbor() recurses at each level, so deep nesting would overflow the stack.
        FrameLimitChecker checker;
        if (!Json::sax_parse(frame, &checker, Json::input_format_t::cbor)) {
            return malformed("invalid CBOR, or a limit of the frame is exceeded");
        }
        return readMessage(Json::from_cbor(frame));
    } catch (const std::exception &) {
        return malformed("a field is missing or of another type");
    }
}

} // namespace snipeferry::peers
