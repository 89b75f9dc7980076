#pragma once

#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/reading.h"
#include "snipeferry/net/eventloop.h"

#include <absl/container/flat_hash_map.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>

namespace snipeferry::net {

struct JournalSettings
{
    /** Lines of one kind of event written in one second; further ones are counted in a line of their own. */
    int linesPerSecond = 20;
    /** Bytes kept for a reader that does not read; further lines are counted as left out. */
    std::size_t bufferBytes = 65536;
};

/** Writes log lines to standard output, without ever waiting for its reader, and keeps the counters of the metrics page. */
class StdoutJournal : public gateway::Journal
{
public:
    StdoutJournal(EventLoop &loop, JournalSettings settings, int descriptor);

    void log(const core::LogEvent &event) override;
    void count(const std::string &name, const std::string &label, double amount) override;
    void observe(const std::string &name, const std::string &label, absl::Duration time) override;

    /** @brief Replaces the bound on lines of one kind. */
    void setLinesPerSecond(int lines);

    /** @brief Sets a value of the metrics page. */
    void gauge(const std::string &name, double value);

    /** @brief The metrics page in the text format of Prometheus; readings are values of this moment. */
    std::string metricsPage(const std::vector<gateway::Reading> &readings = {}) const;

    /** @brief Writes what is buffered, as far as the reader takes it. */
    void flush();

private:
    struct Kind
    {
        int writtenThisSecond = 0;
        int leftOut = 0;
    };

    void startSecond();
    void append(const core::LogEvent &event);
    /** A label of a metric, or "other" where it has too many already. */
    std::string boundedLabel(const std::string &name, const std::string &label);

    EventLoop &m_loop;
    JournalSettings m_settings;
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    absl::flat_hash_map<std::string, Kind> m_kinds;
    prometheus::Registry m_registry;
    absl::flat_hash_map<std::string, prometheus::Family<prometheus::Counter> *> m_counters;
    absl::flat_hash_map<std::string, prometheus::Family<prometheus::Histogram> *> m_histograms;
    absl::flat_hash_map<std::string, std::set<std::string>> m_labels;
    absl::flat_hash_map<std::string, prometheus::Family<prometheus::Gauge> *> m_gauges;
    core::Subscription m_flushTimer;
    core::Subscription m_secondTimer;
};

} // namespace snipeferry::net
