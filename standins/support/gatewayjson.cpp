#include "support/gatewayjson.h"

#include "snipeferry/platform/gatewaycodec.h"

#include <stdexcept>

namespace snipeferry::standins {

namespace {

using nlohmann::json;

std::string bytes(const json &object, const char *name)
{
    std::optional<std::string> decoded = platform::fromBase64(object.value(name, std::string()));
    if (!decoded.has_value()) {
        throw std::invalid_argument(std::string(name) + " is no base64");
    }
    return std::move(*decoded);
}

std::int64_t number(const json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return 0;
    }
    return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

bool isPrefix(const json &object)
{
    const std::string end = bytes(object, "range_end");
    if (end.empty()) {
        return false;
    }
    if (end != platform::prefixEnd(bytes(object, "key"))) {
        throw std::invalid_argument("only single keys and prefixes are supported");
    }
    return true;
}

json header(std::int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

json encodeKeyValue(const std::string &key, const std::optional<std::string> &value, std::int64_t modRevision)
{
    json out = {{"key", platform::toBase64(key)}, {"mod_revision", std::to_string(modRevision)}};
    if (value.has_value()) {
        out["value"] = platform::toBase64(*value);
    }
    return out;
}

json encodeValues(const std::vector<platform::KeyValue> &values)
{
    json list = json::array();
    for (const platform::KeyValue &value : values) {
        list.push_back(encodeKeyValue(value.key, value.value, value.modRevision));
    }
    return list;
}

platform::Write decodePutWrite(const json &put)
{
    return {bytes(put, "key"), bytes(put, "value"), number(put, "lease")};
}

platform::Write decodeDeleteWrite(const json &range)
{
    if (isPrefix(range)) {
        throw std::invalid_argument("only single keys can be deleted");
    }
    return {bytes(range, "key"), std::nullopt, 0};
}

} // namespace

platform::Read decodeRange(const json &body)
{
    return {bytes(body, "key"), isPrefix(body)};
}

platform::Transaction decodePut(const json &body)
{
    return {{}, {decodePutWrite(body)}};
}

platform::Transaction decodeDeleteRange(const json &body)
{
    return {{}, {decodeDeleteWrite(body)}};
}

platform::Transaction decodeTransaction(const json &body)
{
    platform::Transaction transaction;
    for (const json &compare : body.value("compare", json::array())) {
        if (compare.value("target", "") != "MOD" || compare.value("result", "") != "EQUAL") {
            throw std::invalid_argument("only equality of mod_revision can be compared");
        }
        transaction.conditions.push_back({bytes(compare, "key"), number(compare, "mod_revision")});
    }
    for (const json &operation : body.value("success", json::array())) {
        if (operation.contains("request_put")) {
            transaction.writes.push_back(decodePutWrite(operation["request_put"]));
        } else {
            transaction.writes.push_back(decodeDeleteWrite(operation.at("request_delete_range")));
        }
    }
    return transaction;
}

platform::LeaseGrant decodeLeaseGrant(const json &body)
{
    return {absl::Seconds(number(body, "TTL"))};
}

platform::LeaseKeepAlive decodeLeaseKeepAlive(const json &body)
{
    return {number(body, "ID")};
}

WatchRequest decodeWatch(const json &body)
{
    const json &create = body.at("create_request");
    isPrefix(create);
    return {bytes(create, "key"), number(create, "start_revision")};
}

json encodeRange(const platform::Reply &reply)
{
    return {{"header", header(reply.storeRevision)}, {"kvs", encodeValues(reply.values)}, {"count", std::to_string(reply.values.size())}};
}

json encodeWrite(const platform::Reply &reply)
{
    return {{"header", header(reply.storeRevision)}};
}

json encodeTransaction(const platform::Reply &reply)
{
    json out = {{"header", header(reply.storeRevision)}, {"responses", json::array()}};
    // The gateway leaves default values out.
    if (reply.succeeded) {
        out["succeeded"] = true;
        return out;
    }
    for (const platform::KeyValue &value : reply.values) {
        out["responses"].push_back({{"response_range", {{"kvs", encodeValues({value})}}}});
    }
    return out;
}

json encodeLeaseGrant(const platform::Reply &reply)
{
    return {{"header", header(reply.storeRevision)}, {"ID", std::to_string(reply.leaseId)}};
}

json encodeLeaseKeepAlive(const platform::Reply &reply)
{
    json result = {{"header", header(reply.storeRevision)}, {"ID", std::to_string(reply.leaseId)}};
    if (reply.succeeded) {
        result["TTL"] = "1";
    }
    return {{"result", std::move(result)}};
}

json encodeWatch(std::int64_t storeRevision, const std::vector<platform::WatchEvent> &events)
{
    json list = json::array();
    for (const platform::WatchEvent &event : events) {
        json entry = {{"kv", encodeKeyValue(event.key, event.value, event.modRevision)}};
        if (!event.value.has_value()) {
            entry["type"] = "DELETE";
        }
        list.push_back(std::move(entry));
    }
    return {{"result", {{"header", header(storeRevision)}, {"events", std::move(list)}}}};
}

} // namespace snipeferry::standins
