#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"

#include <map>
#include <string>
#include <vector>

/**
 * How a configuration is stored at the platform: as a manifest, which lists chunks with their digests.
 *
 * A chunk is written before the manifest that lists it and is never changed afterwards. Chunks that a change does not affect keep
 * their keys, so that instances read only the manifest and the chunks that differ.
 */
namespace snipeferry::configuration {

/** Maximum size of a value that is written to the platform. */
constexpr std::size_t MAX_CHUNK_BYTES = std::size_t{900} << 10;

/** A serialized part of a configuration. */
struct Chunk
{
    /** Unique within the configuration. */
    std::string name;
    std::string bytes;
    /** SHA-256 in lower-case hexadecimal. */
    std::string digest;
};

/** Key and digest of a chunk. */
struct ChunkReference
{
    std::string name;
    /** Key in the platform's store. */
    std::string key;
    std::string digest;

    SNIPEFERRY_VALUE(ChunkReference, name, key, digest)
};

/** The nonce of an accepted plan and the revision that it created. */
struct AcceptedPlan
{
    core::Revision revision = 0;
    std::string nonce;

    SNIPEFERRY_VALUE(AcceptedPlan, revision, nonce)
};

/** The document that is stored under platform::CONFIGURATION_KEY. */
struct Manifest
{
    core::Revision revision = 0;
    std::vector<ChunkReference> chunks;
    /** The latest accepted plans, newest last. They tell an operator whose reply was lost whether the plan was accepted. */
    std::vector<AcceptedPlan> accepted;

    SNIPEFERRY_VALUE(Manifest, revision, chunks, accepted)
};

/** @brief Splits a configuration into chunks. Configurations that differ only in their revision give equal chunks. */
std::vector<Chunk> splitConfiguration(const Configuration &configuration);

/**
 * @brief Assembles a configuration from its chunks.
 * @param manifest the chunks and the revision
 * @param chunks the contents of the chunks by name
 * @return the configuration; or ConfigurationInvalid when a chunk is missing, does not match its digest or cannot be read
 */
core::Expected<Configuration> joinConfiguration(const Manifest &manifest, const std::map<std::string, std::string> &chunks);

std::string encodeManifest(const Manifest &manifest);

/** @brief Decodes a manifest; returns ConfigurationInvalid if the text is not a manifest. */
core::Expected<Manifest> decodeManifest(const std::string &text);

} // namespace snipeferry::configuration
