#include "snipeferry/net/fleetcodec.h"

#include "compression.h"

#include <nlohmann/json.hpp>

#include <array>
#include <exception>
#include <optional>

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

/** Smaller messages are not worth it. */
constexpr std::size_t MIN_COMPRESSED_BYTES = 200;
/** Bound of one message, as of a frame on a link. */
constexpr std::size_t MAX_MESSAGE_BYTES = 24U << 20U;

/** What pulses and records are made of; a change of it is a change of the protocol between instances. */
constexpr const char *DICTIONARY = "serverrunningunreadTokenspartreadPartsworkroomsservicewaitstopicstopicrevisionconfirmedAgosentAtechoisReadyrollouts"
                                   "customerbalancedemandallowancesgrantstokenschangeskeyvaluerevisionafterrecords";

Compression &compression()
{
    // One for the process: it has one loop, and its state is what costs.
    static Compression shared(DICTIONARY);
    return shared;
}

/** Bodies of callers' requests and answers are passed as they are. */
bool isWorthCompressing(const FleetMessage &message, std::size_t size)
{
    const bool isNews = std::holds_alternative<gateway::Pulse>(message) || std::holds_alternative<gateway::AllowanceTransfer>(message)
        || std::holds_alternative<gateway::RecordsTransfer>(message) || std::holds_alternative<gateway::RecordsUpdate>(message)
        || std::holds_alternative<gateway::RelayReport>(message) || std::holds_alternative<gateway::RegionSummary>(message)
        || std::holds_alternative<gateway::PromptEvidence>(message) || std::holds_alternative<duties::UsageNotice>(message);
    return isNews && size >= MIN_COMPRESSED_BYTES;
}

tl::unexpected<core::Error> unreadable(const std::string &why)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "Message of another instance: " + why + "."));
}

core::Expected<FleetMessage> decodeFrame(const std::string &bytes)
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

} // namespace

std::string encodeFleetMessage(const FleetMessage &message)
{
    Json frame = Json::array();
    frame.push_back(message.index());
    frame.push_back(std::visit([](const auto &typed) { return Json(typed); }, message));
    std::string bytes;
    Json::to_cbor(frame, bytes);
    return isWorthCompressing(message, bytes.size()) ? compression().compress(bytes) : bytes;
}

core::Expected<FleetMessage> decodeFleetMessage(const std::string &bytes)
{
    if (Compression::isCompressed(bytes)) {
        const std::optional<std::string> expanded = compression().expand(bytes, MAX_MESSAGE_BYTES);
        if (!expanded.has_value()) {
            return unreadable("cannot be expanded");
        }
        return decodeFrame(*expanded);
    }
    return decodeFrame(bytes);
}

} // namespace snipeferry::net
