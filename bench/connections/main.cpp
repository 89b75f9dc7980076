#include <boost/asio.hpp>
#include <CLI/CLI.hpp>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/**
 * What connections cost an instance: its own memory when idle, what each waiting connection adds, and the processor time of a refusal.
 */
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Time in which an instance has taken in what was sent. */
constexpr std::chrono::seconds SETTLE_TIME{2};

/** Memory that belongs to the process alone, in KiB. */
long privateMemory(int process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/smaps_rollup");
    long total = 0;
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string name;
        long size = 0;
        words >> name >> size;
        total += name == "Private_Dirty:" ? size : 0;
    }
    return total;
}

/** Processor time of the process so far, in microseconds. */
double processorTime(int process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string word;
    double ticks = 0;
    constexpr int USER_FIELD = 14;
    constexpr int SYSTEM_FIELD = 15;
    for (int field = 1; field <= SYSTEM_FIELD && file >> word; ++field) {
        ticks += field >= USER_FIELD ? std::stod(word) : 0;
    }
    return ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string requestBytes(const std::string &key, int tokens)
{
    const std::string body = "{\"model\":\"planner\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens)
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"Where is unit 7?\"}]}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer " + key
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Reads one whole refusal: head and body of known length. */
void readAnswer(Tcp::socket &socket, asio::streambuf &buffer)
{
    const std::size_t head = asio::read_until(socket, buffer, "\r\n\r\n");
    const std::string text(asio::buffers_begin(buffer.data()), asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(head));
    const std::string name = "Content-Length: ";
    const std::size_t length = std::stoul(text.substr(text.find(name) + name.size()));
    const std::size_t missing = head + length - std::min(head + length, buffer.size());
    asio::read(socket, buffer, asio::transfer_exactly(missing));
    buffer.consume(head + length);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("bench-connections: memory of idle and waiting connections, processor time of refusals");
    std::string address;
    std::string key;
    int process = 0;
    int connections = 200;
    int refusals = 2000;
    app.add_option("--address", address, "address of the instance for callers")->required();
    app.add_option("--process", process, "its process number")->required();
    app.add_option("--key", key, "customer's key, for requests that wait")->required();
    app.add_option("--connections", connections, "connections that wait for an answer");
    app.add_option("--refusals", refusals, "requests with an unknown key");
    CLI11_PARSE(app, argc, argv);

    asio::io_context context;
    const std::size_t colon = address.find(':');
    const Tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    const long idle = privateMemory(process);

    // Refusals one after the other on one connection.
    Tcp::socket refused(context);
    refused.connect(endpoint);
    asio::streambuf buffer;
    const double before = processorTime(process);
    const std::string wrong = requestBytes("no-such-key", 1);
    for (int i = 0; i < refusals; ++i) {
        asio::write(refused, asio::buffer(wrong));
        readAnswer(refused, buffer);
    }
    const double perRefusal = (processorTime(process) - before) / refusals;
    refused.close();

    // Connections whose requests wait for their answers.
    std::this_thread::sleep_for(SETTLE_TIME);
    const long quiet = privateMemory(process);
    constexpr int MANY_TOKENS = 100000;
    std::vector<std::unique_ptr<Tcp::socket>> waiting;
    for (int i = 0; i < connections; ++i) {
        waiting.push_back(std::make_unique<Tcp::socket>(context));
        waiting.back()->connect(endpoint);
        asio::write(*waiting.back(), asio::buffer(requestBytes(key, MANY_TOKENS)));
    }
    std::this_thread::sleep_for(SETTLE_TIME);
    const double perConnection = static_cast<double>(privateMemory(process) - quiet) / connections;
    std::printf("idle %ld KiB of its own, %.1f KiB a waiting connection (of %d), %.1f us processor a refusal (of %d)\n", idle, perConnection, connections,
        perRefusal, refusals);
    return 0;
}
