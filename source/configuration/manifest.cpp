#include "snipeferry/configuration/manifest.h"

#include "snipeferry/core/digest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace snipeferry::configuration {

namespace {

using nlohmann::json;

constexpr const char *SETTINGS_CHUNK = "settings";
constexpr const char *CUSTOMER_CHUNK_PREFIX = "customers-";
/** Number of chunks over which customers are distributed by a hash of their identifiers. */
constexpr std::size_t CUSTOMER_CHUNKS = 64;

std::string customerChunkName(std::size_t index)
{
    char name[32];
    std::snprintf(name, sizeof(name), "%s%02zu", CUSTOMER_CHUNK_PREFIX, index);
    return name;
}

Chunk makeChunk(std::string name, const json &content)
{
    Chunk chunk;
    chunk.name = std::move(name);
    json::to_cbor(content, chunk.bytes);
    chunk.digest = core::sha256Hex(chunk.bytes);
    return chunk;
}

bool hasLowerId(const Customer &left, const Customer &right)
{
    return left.id < right.id;
}

core::Error invalidConfiguration(const std::string &message)
{
    return core::makeError(core::ErrorKind::ConfigurationInvalid, message);
}

} // namespace

std::vector<Chunk> splitConfiguration(const Configuration &configuration)
{
    // Group the customers by chunk. Each group is sorted below, so that the order in the configuration does not matter.
    std::vector<std::vector<Customer>> groups(CUSTOMER_CHUNKS);
    for (const Customer &customer : configuration.customers) {
        const std::string &id = customer.id.value();
        groups[XXH64(id.data(), id.size(), 0) % CUSTOMER_CHUNKS].push_back(customer);
    }
    // Everything else is stored in one chunk.
    Configuration settings = configuration;
    settings.revision = 0;
    settings.customers.clear();
    std::vector<Chunk> chunks = {makeChunk(SETTINGS_CHUNK, settings)};
    for (std::size_t index = 0; index < groups.size(); ++index) {
        if (!groups[index].empty()) {
            std::sort(groups[index].begin(), groups[index].end(), hasLowerId);
            chunks.push_back(makeChunk(customerChunkName(index), groups[index]));
        }
    }
    return chunks;
}

core::Expected<Configuration> joinConfiguration(const Manifest &manifest, const std::map<std::string, std::string> &chunks)
{
    try {
        Configuration configuration;
        std::vector<Customer> customers;
        bool hasSettings = false;
        for (const ChunkReference &reference : manifest.chunks) {
            const auto chunk = chunks.find(reference.name);
            if (chunk == chunks.end() || core::sha256Hex(chunk->second) != reference.digest) {
                return tl::make_unexpected(invalidConfiguration("chunk " + reference.name + " is missing or incomplete"));
            }
            const json content = json::from_cbor(chunk->second);
            if (reference.name == SETTINGS_CHUNK) {
                configuration = content.get<Configuration>();
                hasSettings = true;
                continue;
            }
            const std::vector<Customer> group = content.get<std::vector<Customer>>();
            customers.insert(customers.end(), group.begin(), group.end());
        }
        if (!hasSettings) {
            return tl::make_unexpected(invalidConfiguration("the manifest lists no settings chunk"));
        }
        std::sort(customers.begin(), customers.end(), hasLowerId);
        configuration.customers = std::move(customers);
        configuration.revision = manifest.revision;
        return configuration;
    } catch (const json::exception &) {
        return tl::make_unexpected(invalidConfiguration("a chunk cannot be read"));
    }
}

std::string encodeManifest(const Manifest &manifest)
{
    return json(manifest).dump();
}

core::Expected<Manifest> decodeManifest(const std::string &text)
{
    try {
        return json::parse(text).get<Manifest>();
    } catch (const json::exception &) {
        return tl::make_unexpected(invalidConfiguration("the manifest cannot be read"));
    }
}

} // namespace snipeferry::configuration
