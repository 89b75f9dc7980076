#include "snipeferry/gateway/answermemory.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

constexpr double BYTES_PER_MB = 1e6;
/** Fraction of the memory that waiting answers may use. */
constexpr double PROCESS_FRACTION = 0.25;
constexpr double SOURCE_FRACTION = 0.08;
constexpr double ANSWER_FRACTION = 0.04;
/** No answer may be larger than this, however much memory there is. */
constexpr std::size_t MAX_ANSWER_BYTES = 8U << 20U;

std::size_t fractionOf(double memoryMb, double fraction)
{
    return static_cast<std::size_t>(memoryMb * BYTES_PER_MB * fraction);
}

} // namespace

AnswerLimits answerLimitsFor(double memoryMb)
{
    AnswerLimits limits;
    limits.perProcess = fractionOf(memoryMb, PROCESS_FRACTION);
    limits.perSource = fractionOf(memoryMb, SOURCE_FRACTION);
    limits.perAnswer = std::min(MAX_ANSWER_BYTES, fractionOf(memoryMb, ANSWER_FRACTION));
    limits.pauseAbove = std::min(limits.pauseAbove, limits.perAnswer / 2);
    limits.resumeBelow = std::min(limits.resumeBelow, limits.pauseAbove / 4);
    return limits;
}

const char *answerBoundName(AnswerBound bound)
{
    switch (bound) {
    case AnswerBound::None:
        return "none";
    case AnswerBound::Answer:
        return "answer";
    case AnswerBound::Source:
        return "source";
    case AnswerBound::Process:
        return "process";
    }
    return "none";
}

AnswerMemory::AnswerMemory(AnswerLimits limits)
    : m_limits(limits)
{
}

const AnswerLimits &AnswerMemory::limits() const
{
    return m_limits;
}

AnswerBound AnswerMemory::update(const std::string &source, std::size_t before, std::size_t after)
{
    std::size_t &ofSource = m_bytesBySource[source];
    ofSource = ofSource + after - std::min(ofSource + after, before);
    m_bytes = m_bytes + after - std::min(m_bytes + after, before);
    const std::size_t sourceBytes = ofSource;
    if (sourceBytes == 0) {
        m_bytesBySource.erase(source);
    }
    if (after <= before) {
        return AnswerBound::None;
    }
    if (after > m_limits.perAnswer) {
        return AnswerBound::Answer;
    }
    if (sourceBytes > m_limits.perSource) {
        return AnswerBound::Source;
    }
    return m_bytes > m_limits.perProcess ? AnswerBound::Process : AnswerBound::None;
}

std::size_t AnswerMemory::bytes() const
{
    return m_bytes;
}

} // namespace snipeferry::gateway
