#include "snipeferry/platform/gatewaycodec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace snipeferry::platform {

namespace {

using nlohmann::json;

// 64-bit numbers come as strings; absent ones are zero, as protobuf's JSON mapping leaves defaults out.
std::int64_t numberAt(const json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return 0;
    }
    if (it->is_number_integer()) {
        return it->get<std::int64_t>();
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(it->get_ref<const std::string &>(), &number)) {
        throw std::invalid_argument(std::string(name) + " is no number");
    }
    return number;
}

std::string bytesAt(const json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return {};
    }
    std::optional<std::string> bytes = fromBase64(it->get_ref<const std::string &>());
    if (!bytes.has_value()) {
        throw std::invalid_argument(std::string(name) + " is no base64");
    }
    return std::move(*bytes);
}

const json &memberAt(const json &object, const char *name)
{
    static const json empty = json::object();
    const auto it = object.find(name);
    if (it == object.end()) {
        return empty;
    }
    if (!it->is_object()) {
        throw std::invalid_argument(std::string(name) + " is no object");
    }
    return *it;
}

const json &listAt(const json &object, const char *name)
{
    static const json empty = json::array();
    const auto it = object.find(name);
    if (it == object.end()) {
        return empty;
    }
    if (!it->is_array()) {
        throw std::invalid_argument(std::string(name) + " is no list");
    }
    return *it;
}

json parseObject(const std::string &text)
{
    json document = json::parse(text);
    if (!document.is_object()) {
        throw std::invalid_argument("no object");
    }
    return document;
}

void appendValues(const json &range, std::vector<KeyValue> &values)
{
    for (const json &entry : listAt(range, "kvs")) {
        values.push_back({bytesAt(entry, "key"), bytesAt(entry, "value"), numberAt(entry, "mod_revision")});
    }
}

json encodeWrite(const Write &write)
{
    if (!write.value.has_value()) {
        return {{"request_delete_range", {{"key", toBase64(write.key)}}}};
    }
    json put = {{"key", toBase64(write.key)}, {"value", toBase64(*write.value)}};
    if (write.leaseId != 0) {
        put["lease"] = std::to_string(write.leaseId);
    }
    return {{"request_put", std::move(put)}};
}

GatewayRequest encode(const Read &read)
{
    json body = {{"key", toBase64(read.key)}};
    if (read.isPrefix) {
        body["range_end"] = toBase64(prefixEnd(read.key));
    }
    return {"/v3/kv/range", body.dump()};
}

GatewayRequest encode(const Transaction &transaction)
{
    json compare = json::array();
    json failure = json::array();
    for (const Compare &condition : transaction.conditions) {
        const std::string key = toBase64(condition.key);
        compare.push_back({{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(condition.modRevision)}});
        failure.push_back({{"request_range", {{"key", key}}}});
    }
    json success = json::array();
    for (const Write &write : transaction.writes) {
        success.push_back(encodeWrite(write));
    }
    return {"/v3/kv/txn", json({{"compare", compare}, {"success", success}, {"failure", failure}}).dump()};
}

GatewayRequest encode(const LeaseGrant &grant)
{
    const std::int64_t seconds = absl::ToInt64Seconds(absl::Ceil(grant.timeToLive, absl::Seconds(1)));
    return {"/v3/lease/grant", json({{"TTL", std::to_string(seconds)}, {"ID", "0"}}).dump()};
}

GatewayRequest encode(const LeaseKeepAlive &keepAlive)
{
    return {"/v3/lease/keepalive", json({{"ID", std::to_string(keepAlive.leaseId)}}).dump()};
}

void decode(const Read &, const json &body, Reply &reply)
{
    appendValues(body, reply.values);
    reply.succeeded = true;
}

void decode(const Transaction &, const json &body, Reply &reply)
{
    reply.succeeded = body.value("succeeded", false);
    for (const json &response : listAt(body, "responses")) {
        appendValues(memberAt(response, "response_range"), reply.values);
    }
}

void decode(const LeaseGrant &, const json &body, Reply &reply)
{
    reply.leaseId = numberAt(body, "ID");
    reply.succeeded = reply.leaseId != 0;
}

void decode(const LeaseKeepAlive &request, const json &body, Reply &reply)
{
    reply.leaseId = request.leaseId;
    reply.succeeded = numberAt(memberAt(body, "result"), "TTL") > 0;
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string text;
    absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()), &text);
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::string bytes;
    if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()), &bytes)) {
        return std::nullopt;
    }
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const unsigned char last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

GatewayRequest encodeCall(const Call &call)
{
    return std::visit([](const auto &request) { return encode(request); }, call.request);
}

core::Expected<Reply> decodeReply(const Call &call, const std::string &body)
{
    try {
        const json document = parseObject(body);
        Reply reply;
        reply.id = call.id;
        reply.outcome = Outcome::Answered;
        std::visit([&](const auto &request) { decode(request, document, reply); }, call.request);
        const json &result = document.contains("result") ? memberAt(document, "result") : document;
        reply.storeRevision = numberAt(memberAt(result, "header"), "revision");
        return reply;
    } catch (const std::exception &) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::PlatformUnavailable, "the platform's answer is not understood"));
    }
}

GatewayRequest encodeWatch(const std::string &prefix, std::int64_t startRevision)
{
    const json create = {{"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}, {"start_revision", std::to_string(startRevision)}};
    return {"/v3/watch", json({{"create_request", create}}).dump()};
}

core::Expected<WatchBatch> decodeWatchLine(const std::string &line)
{
    try {
        const json document = parseObject(line);
        const json &result = memberAt(document, "result");
        WatchBatch batch;
        batch.isCancelled = document.contains("error") || result.value("canceled", false);
        batch.storeRevision = numberAt(memberAt(result, "header"), "revision");
        for (const json &entry : listAt(result, "events")) {
            const json &value = memberAt(entry, "kv");
            WatchEvent event{bytesAt(value, "key"), std::nullopt, numberAt(value, "mod_revision")};
            if (entry.value("type", "PUT") != "DELETE") {
                event.value = bytesAt(value, "value");
            }
            batch.events.push_back(std::move(event));
        }
        return batch;
    } catch (const std::exception &) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::PlatformUnavailable, "the platform's watch message is not understood"));
    }
}

} // namespace snipeferry::platform
