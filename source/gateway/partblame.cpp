#include "snipeferry/gateway/partblame.h"

#include <utility>

namespace snipeferry::gateway {

namespace {

constexpr absl::Duration MOMENT_GAP = absl::Milliseconds(250);
/** Moments from which a part is quarantined: those at which it was in work like a culprit, or in work at all. */
constexpr int CULPRIT_MOMENTS = 3;
constexpr int ANY_MOMENTS = 5;
constexpr int SUSPECT_MOMENTS = 2;

} // namespace

PartBlame::PartBlame(PartKey key, absl::Time clearedAt)
    : m_key(std::move(key)),
      m_clearedAt(clearedAt)
{
}

void PartBlame::add(const Crash &crash, AnswerProgress progress)
{
    if (crash.at <= m_clearedAt) {
        return;
    }
    ++m_crashes;
    m_lastCrashAt = crash.at;
    if (crash.at - m_lastMomentAt >= MOMENT_GAP) {
        ++m_moments;
        m_lastMomentAt = crash.at;
    }
    if (progress == AnswerProgress::Begun && crash.at - m_lastCulpritMomentAt >= MOMENT_GAP) {
        ++m_culpritMoments;
        m_lastCulpritMomentAt = crash.at;
    }
}

const PartKey &PartBlame::key() const
{
    return m_key;
}

int PartBlame::crashes() const
{
    return m_crashes;
}

absl::Time PartBlame::lastCrashAt() const
{
    return m_lastCrashAt;
}

bool PartBlame::everEndedWell() const
{
    return m_clearedAt > absl::InfinitePast();
}

bool PartBlame::isSuspect() const
{
    return m_culpritMoments >= SUSPECT_MOMENTS;
}

bool PartBlame::isEnough() const
{
    return m_culpritMoments >= CULPRIT_MOMENTS || m_moments >= ANY_MOMENTS;
}

} // namespace snipeferry::gateway
