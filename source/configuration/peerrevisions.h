#pragma once

#include "snipeferry/core/ids.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace snipeferry::configuration {

/** Tracks the configuration revisions of linked instances and selects the instance to request one from. */
class PeerRevisions
{
public:
    void linkUp(const core::InstanceId &peer);
    void linkDown(const core::InstanceId &peer);

    /** @brief Records that a peer reported a revision; a lower one than before is ignored. */
    void setRevision(const core::InstanceId &peer, core::Revision revision);

    /** @brief Returns the least recently asked peer with a revision above the given one, or the one with the highest revision of several, and marks it as
     * asked. */
    std::optional<core::InstanceId> selectSource(core::Revision above, absl::Time now);

    /** @brief Whether a linked peer reported a revision above the given one. */
    bool hasRevisionAbove(core::Revision revision) const;

    std::vector<core::InstanceId> linked() const;

    /** @brief Whether at least one peer is linked and all linked peers have reported a revision. */
    bool haveAllReported() const;

private:
    struct Peer
    {
        std::optional<core::Revision> revision;
        absl::Time lastRequestedAt = absl::InfinitePast();
    };

    std::map<core::InstanceId, Peer> m_peers;
};

} // namespace snipeferry::configuration
