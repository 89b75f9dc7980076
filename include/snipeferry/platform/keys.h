#pragma once

/**
 * Keys of the platform's key-value service that the system uses.
 */
namespace snipeferry::platform {

/** The accepted configuration: a JSON document, configuration::Manifest whose chunks lie beside it. */
constexpr const char CONFIGURATION_KEY[] = "/snipeferry/configuration/current";
/** Prefix of configuration chunks: <nonce of the plan>/<name>. */
constexpr const char CONFIGURATION_CHUNK_PREFIX[] = "/snipeferry/configuration/chunks/";
/** Prefix of everything about limits. */
constexpr const char LIMITS_PREFIX[] = "/snipeferry/limits/";
/** Prefix of limit slot owners: <data centre>/<slot>. */
constexpr const char LIMIT_SLOT_PREFIX[] = "/snipeferry/limits/slots/";
/** Prefix of liveness keys of slot owners: <instance>; bound to a lease. */
constexpr const char LIMIT_LIVENESS_PREFIX[] = "/snipeferry/limits/live/";
/** Prefix of claims by callers' idempotency keys: <customer>/<digest>. */
constexpr const char OPERATION_PREFIX[] = "/snipeferry/operations/";
/** Prefix of rollout states: <rollout>. */
constexpr const char ROLLOUT_PREFIX[] = "/snipeferry/rollouts/";
/** Prefix of peak ledgers: <region>. */
constexpr const char PEAK_PREFIX[] = "/snipeferry/peak/";
/** Prefix of directory and instance list. */
constexpr const char DIRECTORY_ROOT[] = "/directory/";
/** Directory of backend servers, kept by the platform: <backend server>. */
constexpr const char DIRECTORY_PREFIX[] = "/directory/backends/";
/** Lagging list of instances, kept by the platform: <instance>. */
constexpr const char INSTANCE_LIST_PREFIX[] = "/directory/instances/";

} // namespace snipeferry::platform
