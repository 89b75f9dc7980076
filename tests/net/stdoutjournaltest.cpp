#include "snipeferry/net/stdoutjournal.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace snipeferry;

namespace {

/** A pipe whose reader reads when the test wants it to. */
class SlowReader
{
public:
    SlowReader()
    {
        REQUIRE(::pipe2(m_ends.data(), O_CLOEXEC) == 0);
        REQUIRE(::fcntl(m_ends[0], F_SETFL, O_NONBLOCK) == 0);
    }

    ~SlowReader()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    int writingEnd() const
    {
        return m_ends[1];
    }

    /** Everything that is in the pipe now. */
    std::string read() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t got = ::read(m_ends[0], buffer.data(), buffer.size()); got > 0; got = ::read(m_ends[0], buffer.data(), buffer.size())) {
            text.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends{};
};

void runFor(net::EventLoop &loop, absl::Duration time)
{
    loop.resume();
    const core::Subscription stop = loop.timers().after(time, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

TEST_CASE("a log's reader that stands still holds nothing up, and what was dropped is counted when it reads again")
{
    net::EventLoop loop;
    const SlowReader reader;
    net::JournalSettings settings;
    settings.linesPerSecond = 1'000'000;
    net::StdoutJournal journal(loop, settings, reader.writingEnd());
    const absl::Time start = loop.timers().now();
    for (int line = 0; line < 200'000; ++line) {
        journal.log(core::LogEvent{"request_answered", {}}.with("request", absl::StrCat(line)).with("route", "plans"));
        if (line % 1000 == 0) {
            journal.flush();
        }
    }
    // 20 MB of lines, of which the pipe and the buffer hold a little; nobody waited.
    CHECK(loop.timers().now() - start < absl::Seconds(2));
    std::string text = reader.read();
    runFor(loop, absl::Milliseconds(1300));
    text += reader.read();
    runFor(loop, absl::Milliseconds(300));
    text += reader.read();
    CHECK(absl::StrContains(text, "event=lines_dropped lines="));
    CHECK(text.size() < 300'000);
}

TEST_CASE("each kind of event has its share of a second, and what is beyond it is counted in a line and on the metrics page")
{
    net::EventLoop loop;
    const SlowReader reader;
    net::JournalSettings settings;
    settings.linesPerSecond = 5;
    net::StdoutJournal journal(loop, settings, reader.writingEnd());
    for (int line = 0; line < 50; ++line) {
        journal.log(core::LogEvent{"request_answered", {}}.with("request", absl::StrCat(line)));
    }
    journal.log(core::LogEvent{"store_lost", {}});
    runFor(loop, absl::Milliseconds(1300));
    const std::string text = reader.read();
    CHECK(absl::StrContains(text, "request=4"));
    CHECK_FALSE(absl::StrContains(text, "request=5"));
    CHECK(absl::StrContains(text, "event=store_lost"));
    CHECK(absl::StrContains(text, "event=lines_left_out kind=request_answered lines=45"));
    CHECK(absl::StrContains(journal.metricsPage(), "snipeferry_log_lines_left_out_total{label=\"request_answered\"} 45"));
}

TEST_CASE("readings of a moment leave nothing behind on the next metrics page")
{
    net::EventLoop loop;
    const SlowReader reader;
    net::StdoutJournal journal(loop, net::JournalSettings(), reader.writingEnd());
    CHECK(absl::StrContains(journal.metricsPage({{"allowance_tokens", "bar", 12.5}}), "snipeferry_allowance_tokens{label=\"bar\"} 12.5"));
    CHECK_FALSE(absl::StrContains(journal.metricsPage(), "allowance_tokens"));
}
