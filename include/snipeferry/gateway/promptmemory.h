#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace snipeferry::gateway {

/** A shared prompt part that a backend server has read, and keeps until others displace it. */
struct ReadPart
{
    core::BackendServerId server;
    std::string part;

    SNIPEFERRY_VALUE(ReadPart, server, part)
};

/**
 * Which backend servers keep which shared prompt parts, as far as this region's instances have given them work.
 *
 * The last part of a prompt belongs to its request alone; those before it are shared.
 */
class PromptMemory
{
public:
    explicit PromptMemory(core::TimerService &timers);

    /** @brief A backend server was given a prompt, and will have read it in a while. */
    void noteGiven(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration readIn);

    /** @brief Parts that other instances' requests had read. */
    void noteByOthers(const std::vector<ReadPart> &parts);

    /** @brief Parts noted by noteGiven() since the last call, for the other instances of this region, or of other regions. */
    std::vector<ReadPart> takeFresh(bool isForRegion);

    /** @brief The backend server started anew. */
    void forget(const core::BackendServerId &server);

    /** @brief Leading tokens of a prompt that need not be read by the time a request that is given now has its turn. */
    std::int64_t expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const;

    /** @brief Leading tokens of a prompt that the backend server keeps now. */
    std::int64_t keptTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const;

    bool hasPart(const core::BackendServerId &server, const std::string &part) const;

    /** @brief Backend servers that keep the last of a prompt's shared parts now. */
    std::vector<core::BackendServerId> holders(const std::vector<PromptPart> &parts) const;

private:
    struct Kept
    {
        absl::Time usedAt = absl::InfinitePast();
        /** When it was, or will be, read. */
        absl::Time readAt = absl::InfiniteFuture();
        /** When the region's other instances were told. */
        absl::Time toldAt = absl::InfinitePast();
    };
    using Holders = absl::flat_hash_map<core::BackendServerId, Kept>;

    Kept &note(const core::BackendServerId &server, const std::string &part, absl::Time readAt);
    void dropOld();
    const Kept *find(const core::BackendServerId &server, const std::string &part) const;
    std::int64_t leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Time readBefore) const;

    core::TimerService &m_timers;
    absl::flat_hash_map<std::string, Holders> m_parts;
    /** When the other regions were told of a part; which of a region's backend servers keeps it is the same to them. */
    absl::flat_hash_map<std::string, absl::Time> m_toldOthers;
    std::vector<ReadPart> m_freshForRegion;
    std::vector<ReadPart> m_freshForOthers;
    core::Subscription m_dropTimer;
};

} // namespace snipeferry::gateway
