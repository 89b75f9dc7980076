#include "orders.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>

/**
 * One engine sends, where a chunk of its answer is due, bytes that are no chunk, without end. Orders run at a sound runner meanwhile, on kept connections.
 * The platform ends a process that uses more memory than its machine has.
 */
namespace {

using namespace snipeferry;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int CHANNELS = 6;
constexpr int STREAMS = 2;
constexpr int EVENTS = 6;
/** Memory of a machine and speed of its link, as the sheet says; the link is used to nine tenths. */
constexpr std::int64_t MEMORY_KB = 260 * 1024;
constexpr double LINK_BYTES_PER_SECOND = 0.9 * 1e9 / 8;
constexpr absl::Duration ORDER_TIME = absl::Milliseconds(120);
constexpr int BOOKINGS = 3;
constexpr absl::Duration WRITE_PERIOD = absl::Milliseconds(5);
/** Of cut orders that the rule bears. */
constexpr int BORNE_CUTS = 3;

/** An engine that begins an answer and goes on with bytes that end no chunk, until its client closes. All its connections share the link. */
class EndlessEngine
{
public:
    explicit EndlessEngine(review::Stage &stage)
        : m_stage(stage),
          m_acceptor(stage.loop().context(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          m_filler(65536, 'a')
    {
        accept();
        m_timer = stage.loop().timers().every(WRITE_PERIOD, [this] { writeMore(); });
    }

    std::string address() const
    {
        return absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port());
    }

private:
    struct Channel
    {
        explicit Channel(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        Tcp::socket socket;
        std::string request;
        std::string text;
        bool hasBegun = false;
        bool isWriting = false;
        bool isClosed = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error) {
                return;
            }
            m_channels.push_back(std::make_shared<Channel>(std::move(socket)));
            read(m_channels.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Channel> &channel)
    {
        const std::shared_ptr<std::array<char, 4096>> bytes = std::make_shared<std::array<char, 4096>>();
        channel->socket.async_read_some(asio::buffer(*bytes), [this, channel, bytes](boost::system::error_code error, std::size_t got) {
            if (error) {
                channel->isClosed = true;
                m_stage.note("the gateway has closed the engine's channel");
                return;
            }
            channel->request.append(bytes->data(), got);
            const std::size_t id = channel->request.find("Attempt-Id: ");
            if (!channel->hasBegun && id != std::string::npos && channel->request.find("\r\n\r\n") != std::string::npos) {
                const std::string attempt = channel->request.substr(id + 12, channel->request.find("\r\n", id) - id - 12);
                m_stage.note(absl::StrCat("run      ", attempt, " at the faulty engine"));
                channel->text = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", attempt, "\r\nServer-Seal: engine.", attempt,
                    "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n40;");
                channel->hasBegun = true;
            }
            read(channel);
        });
    }

    void writeMore()
    {
        m_credit = std::min(m_credit + LINK_BYTES_PER_SECOND * absl::ToDoubleSeconds(WRITE_PERIOD), LINK_BYTES_PER_SECOND / 50);
        for (const std::shared_ptr<Channel> &channel : m_channels) {
            write(channel);
        }
    }

    void write(const std::shared_ptr<Channel> &channel)
    {
        if (!channel->hasBegun || channel->isWriting || channel->isClosed || m_credit <= 0) {
            return;
        }
        if (channel->text.empty()) {
            channel->text = m_filler;
        }
        m_credit -= static_cast<double>(channel->text.size());
        channel->isWriting = true;
        asio::async_write(channel->socket, asio::buffer(channel->text), [this, channel](boost::system::error_code error, std::size_t /*bytes*/) {
            channel->isWriting = false;
            channel->text.clear();
            channel->isClosed = channel->isClosed || error;
            write(channel);
        });
    }

    review::Stage &m_stage;
    Tcp::acceptor m_acceptor;
    std::string m_filler;
    std::vector<std::shared_ptr<Channel>> m_channels;
    double m_credit = 0;
    core::Subscription m_timer;
};

std::int64_t residentKb(pid_t process)
{
    std::ifstream file(absl::StrCat("/proc/", process, "/status"));
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            std::int64_t kb = 0;
            file >> kb;
            return kb;
        }
    }
    return 0;
}

} // namespace

int main()
{
    review::Stage stage;
    review::Gateway &north = stage.addGateway("north");
    for (int number = 1; number <= BOOKINGS; ++number) {
        standins::RunnerSettings booking;
        booking.id = absl::StrCat("i-booking-", number);
        booking.service = standins::UsersManifest::BOOKING;
        booking.zone = "north-1";
        booking.slots = CHANNELS;
        booking.workTime = ORDER_TIME;
        stage.addRunner(booking);
    }
    standins::RunnerSettings engine;
    engine.id = "i-engine";
    engine.service = standins::UsersManifest::ENGINE;
    engine.zone = "north-1";
    standins::UsersRunner &soundEngine = stage.addRunner(engine);
    EndlessEngine faultyEngine(stage);
    if (stage.hasTrouble()) {
        soundEngine.announce(faultyEngine.address());
    }
    standins::UsersManifest manifest;
    manifest.tenants = {{"bar", {"k-bar"}, 0}};
    stage.store().put("op/config", manifest.json());
    stage.startGateway(north);
    if (!stage.runUntil([&] { return stage.isReady(north); }, absl::Seconds(20))) {
        return stage.end(review::Verdict::CouldNotRun, "the gateway did not get ready");
    }
    stage.run(absl::Seconds(6));

    review::Orders orders(stage, north, CHANNELS);
    std::int64_t peakKb = 0;
    bool isKilled = false;
    const absl::Time startedAt = stage.loop().timers().now();
    const auto isOver = [&] {
        const absl::Duration elapsed = stage.loop().timers().now() - startedAt;
        if (!isKilled && elapsed < absl::Seconds(7)) {
            orders.sendNext();
        }
        if (stage.request("stream-1") == nullptr && elapsed > absl::Seconds(2)) {
            for (int number = 1; number <= STREAMS; ++number) {
                soak::RequestSeen stream;
                stream.attempt = absl::StrCat("stream-", number);
                stream.path = standins::UsersManifest::ANSWER + stream.attempt;
                stream.body = "question";
                stream.key = "k-bar";
                stream.events = EVENTS;
                stream.tokens = 106;
                stream.timeLimit = absl::Seconds(3);
                stage.send(north, stream);
            }
        }
        const std::int64_t usedKb = isKilled ? 0 : residentKb(north.process);
        peakKb = std::max(peakKb, usedKb);
        if (usedKb > MEMORY_KB) {
            stage.note(absl::StrCat("memory   ", usedKb, " KB: the platform ends the process"));
            stage.killGateway(north, SIGKILL);
            isKilled = true;
        }
        return elapsed > absl::Seconds(9) && stage.isAllAnswered();
    };
    stage.runUntil(isOver, absl::Seconds(20));
    const int cut = orders.cutCount();
    stage.note(absl::StrCat("memory   most ", peakKb, " KB of ", MEMORY_KB, " KB"));
    if (isKilled && cut > BORNE_CUTS) {
        return stage.end(review::Verdict::Broken,
            absl::StrCat("LOST: the process used ", peakKb, " KB of ", MEMORY_KB, " KB and was ended; ", cut, " orders at sound runners were cut"));
    }
    return stage.end(review::Verdict::Held, absl::StrCat("most ", peakKb, " KB of ", MEMORY_KB, " KB, ", cut, " orders cut"));
}
