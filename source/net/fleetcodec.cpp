#include "snipeferry/net/fleetcodec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <exception>

namespace snipeferry::net {

namespace {

using Json = nlohmann::json;
using gateway::FleetMessage;

constexpr std::size_t MESSAGE_COUNT = std::variant_size_v<FleetMessage>;
using Reader = FleetMessage (*)(const Json &);

template<std::size_t Index>
FleetMessage readAs(const Json &fields)
{
    return FleetMessage(std::in_place_index<Index>, fields.get<std::variant_alternative_t<Index, FleetMessage>>());
}

template<std::size_t... Indices>
constexpr std::array<Reader, MESSAGE_COUNT> readers(std::index_sequence<Indices...> /*indices*/)
{
    return {{&readAs<Indices>...}};
}

constexpr std::array<Reader, MESSAGE_COUNT> READERS = readers(std::make_index_sequence<MESSAGE_COUNT>());

tl::unexpected<core::Error> unreadable(const std::string &why)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "Message of another instance: " + why + "."));
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &message)
{
    Json frame = Json::array();
    frame.push_back(message.index());
    frame.push_back(std::visit([](const auto &typed) { return Json(typed); }, message));
    std::string bytes;
    Json::to_cbor(frame, bytes);
    return bytes;
}

core::Expected<FleetMessage> decodeFleetMessage(const std::string &bytes)
{
    const Json frame = Json::from_cbor(bytes, true, false);
    if (!frame.is_array() || frame.size() != 2 || !frame[0].is_number_unsigned()) {
        return unreadable("not a frame");
    }
    const std::size_t index = frame[0].get<std::size_t>();
    if (index >= MESSAGE_COUNT) {
        return unreadable("unknown type");
    }
    try {
        return READERS[index](frame[1]);
    } catch (const std::exception &error) {
        return unreadable(error.what());
    }
}

} // namespace snipeferry::net
