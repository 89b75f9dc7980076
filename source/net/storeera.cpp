#include "storeera.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace snipeferry::net {

StoreEra::StoreEra(const StoreFormat &format, gateway::Journal &journal)
    : m_format(format),
      m_journal(journal)
{
}

std::int64_t StoreEra::current() const
{
    return m_current;
}

core::Signal<std::int64_t> &StoreEra::advanced()
{
    return m_advanced;
}

bool StoreEra::note(const CallAnswer &answer)
{
    const core::Expected<std::optional<std::int64_t>> named = m_format.decodeEra(answer.headers);
    const bool isMissing = named && !named->has_value() && m_current != 0;
    const bool isOlder = named && named->has_value() && **named < m_current;
    const bool wasUnusable = std::exchange(m_isUnusable, !named || isMissing || isOlder);
    if (m_isUnusable && !wasUnusable) {
        m_journal.log(core::LogEvent{"store_era_unusable", {}}
                          .with("era", absl::StrCat(m_current))
                          .with("reason",
                              !named          ? named.error().message
                                  : isMissing ? "missing"
                                              : absl::StrCat("older: ", **named)));
    }
    if (!named || !named->has_value()) {
        return true;
    }
    if (**named > m_current) {
        const std::int64_t before = std::exchange(m_current, **named);
        m_journal.log(core::LogEvent{"store_era", {}}.with("era", absl::StrCat(m_current)).with("before", absl::StrCat(before)));
        m_advanced.emit(m_current);
    }
    return !isOlder;
}

} // namespace snipeferry::net
