#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace snipeferry::gateway {

/** Limits of the bytes of answers that wait in this process. */
struct AnswerLimits
{
    /** Bytes of one answer. */
    std::size_t perAnswer = 8U << 20U;
    /** Bytes of all answers that one backend server, or one other instance, has sent. */
    std::size_t perSource = 16U << 20U;
    /** Bytes of all answers. */
    std::size_t perProcess = 64U << 20U;
    /** Bytes that a slow caller has not read beyond which nothing more is read from its backend server, and below which reading goes on. */
    std::size_t pauseAbove = 256U << 10U;
    std::size_t resumeBelow = 64U << 10U;
};

/** @brief Limits for a process that may use this much memory, in MB. */
AnswerLimits answerLimitsFor(double memoryMb);

/** Which limit an answer has reached. */
enum class AnswerBound {
    None,
    Answer,
    Source,
    Process,
};

/** @brief Name of a bound for the log. */
const char *answerBoundName(AnswerBound bound);

/**
 * Counts the bytes of answers that wait in this process until they are complete or the caller has read them.
 *
 * A backend server may send bytes without end. The limits keep it from taking the whole process.
 */
class AnswerMemory
{
public:
    explicit AnswerMemory(AnswerLimits limits);

    const AnswerLimits &limits() const;

    /**
     * @brief Changes the number of bytes counted for one answer.
     * @param source backend server or instance that sends the answer
     * @param before the number counted so far; must be what was passed as after in the last call for this answer
     * @return the bound that is exceeded now; the bytes are counted nevertheless
     */
    AnswerBound update(const std::string &source, std::size_t before, std::size_t after);

    std::size_t bytes() const;

private:
    AnswerLimits m_limits;
    std::size_t m_bytes = 0;
    absl::flat_hash_map<std::string, std::size_t> m_bytesBySource;
};

} // namespace snipeferry::gateway
