#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/net/httpcaller.h"
#include "snipeferry/net/storeformat.h"

#include <optional>

namespace snipeferry::net {

/** The store's era, as its answers name it. One for all connections of a process. */
class StoreEra
{
public:
    StoreEra(const StoreFormat &format, gateway::Journal &journal);

    /** @brief The newest era that an answer has named; 0 if none has. */
    std::int64_t current() const;

    /**
     * @brief Notes the era of an answer. An answer that names none, or none that can be read, counts as one of the current era.
     * @return whether the answer is of the current era; false for one of an earlier era, which was under way while the store came back
     */
    bool note(const CallAnswer &answer);

    /** @brief Emitted with the new era when the store has come back from a copy. */
    core::Signal<std::int64_t> &advanced();

private:
    const StoreFormat &m_format;
    gateway::Journal &m_journal;
    std::int64_t m_current = 0;
    /** Whether the last answer's era could not be used; only a change of that is logged. */
    bool m_isUnusable = false;
    core::Signal<std::int64_t> m_advanced;
};

} // namespace snipeferry::net
