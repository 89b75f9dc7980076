#include "snipeferry/net/stdoutjournal.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <poll.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

namespace snipeferry::net {

namespace {

constexpr absl::Duration FLUSH_PERIOD = absl::Milliseconds(200);
/** Labels of one counter; further ones are counted under "other". */
constexpr std::size_t MAX_LABELS = 200;
/** Prefix of all names on the metrics page. */
constexpr const char *METRIC_PREFIX = "snipeferry_";

/** In seconds; objectives of callers lie between 0.3 and 2. */
const prometheus::Histogram::BucketBoundaries HISTOGRAM_BOUNDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 15};

prometheus::Labels labelsOf(const std::string &label)
{
    return label.empty() ? prometheus::Labels() : prometheus::Labels{{"label", label}};
}

/** Events that somebody should look at carry a level; all others are information. */
const char *levelOf(const std::string &event)
{
    for (const char *word : {"failed", "lost", "unreadable"}) {
        if (absl::StrContains(event, word)) {
            return "level=error ";
        }
    }
    for (const char *word : {"refus", "retry", "rejected", "silent"}) {
        if (absl::StrContains(event, word)) {
            return "level=warning ";
        }
    }
    return "";
}

} // namespace

StdoutJournal::StdoutJournal(EventLoop &loop, JournalSettings settings, int descriptor)
    : m_loop(loop),
      m_settings(settings),
      m_descriptor(descriptor),
      m_flushTimer(loop.timers().every(FLUSH_PERIOD, [this] { flush(); })),
      m_secondTimer(loop.timers().every(absl::Seconds(1), [this] { startSecond(); }))
{
}

void StdoutJournal::log(const core::LogEvent &event)
{
    Kind &kind = m_kinds[event.name];
    if (kind.writtenThisSecond >= m_settings.linesPerSecond) {
        ++kind.leftOut;
        return;
    }
    ++kind.writtenThisSecond;
    append(event);
}

void StdoutJournal::setLinesPerSecond(int lines)
{
    m_settings.linesPerSecond = lines;
}

void StdoutJournal::append(const core::LogEvent &event)
{
    if (m_buffer.size() > m_settings.bufferBytes) {
        ++m_droppedLines;
        return;
    }
    absl::StrAppend(&m_buffer, "time_ms=", absl::ToUnixMillis(m_loop.timers().wallNow()), " ", levelOf(event.name), core::formatLogLine(event), "\n");
}

void StdoutJournal::startSecond()
{
    for (auto &entry : m_kinds) {
        if (entry.second.leftOut > 0) {
            append(core::LogEvent{"lines_left_out", {}}.with("kind", entry.first).with("lines", absl::StrCat(entry.second.leftOut)));
            count("log_lines_left_out_total", entry.first, entry.second.leftOut);
        }
        entry.second = Kind();
    }
    if (m_droppedLines > 0 && m_buffer.size() <= m_settings.bufferBytes) {
        append(core::LogEvent{"lines_dropped", {}}.with("lines", absl::StrCat(m_droppedLines)));
        m_droppedLines = 0;
    }
}

void StdoutJournal::flush()
{
    // A pipe takes at least this much at once when it is writable, so the write cannot wait.
    constexpr std::size_t PIPE_BYTES = 4096;
    while (!m_buffer.empty()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), PIPE_BYTES));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

void StdoutJournal::count(const std::string &name, const std::string &label, double amount)
{
    prometheus::Family<prometheus::Counter> *&family = m_counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(METRIC_PREFIX + name).Register(m_registry);
    }
    family->Add(labelsOf(boundedLabel(name, label))).Increment(amount);
}

void StdoutJournal::observe(const std::string &name, const std::string &label, absl::Duration time)
{
    prometheus::Family<prometheus::Histogram> *&family = m_histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(METRIC_PREFIX + name).Register(m_registry);
    }
    family->Add(labelsOf(boundedLabel(name, label)), HISTOGRAM_BOUNDS).Observe(absl::ToDoubleSeconds(time));
}

std::string StdoutJournal::boundedLabel(const std::string &name, const std::string &label)
{
    std::set<std::string> &labels = m_labels[name];
    if (labels.count(label) == 0 && labels.size() >= MAX_LABELS) {
        return "other";
    }
    labels.insert(label);
    return label;
}

void StdoutJournal::gauge(const std::string &name, double value)
{
    prometheus::Family<prometheus::Gauge> *&family = m_gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(METRIC_PREFIX + name).Register(m_registry);
    }
    family->Add({}).Set(value);
}

std::string StdoutJournal::metricsPage(const std::vector<gateway::Reading> &readings) const
{
    // Readings live for one page only, so that what is gone leaves no last value behind.
    prometheus::Registry moment;
    for (const gateway::Reading &reading : readings) {
        prometheus::BuildGauge().Name(METRIC_PREFIX + reading.name).Register(moment).Add(labelsOf(reading.label)).Set(reading.value);
    }
    std::vector<prometheus::MetricFamily> families = m_registry.Collect();
    const std::vector<prometheus::MetricFamily> readingFamilies = moment.Collect();
    families.insert(families.end(), readingFamilies.begin(), readingFamilies.end());
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace snipeferry::net
