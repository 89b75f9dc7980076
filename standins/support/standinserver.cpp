#include "support/standinserver.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace snipeferry::standins {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockTerminationSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int serve(std::uint16_t port, const StandinHandler &handler)
{
    ThreadedServer server(handler);
    const core::Expected<std::string> address = server.start(port);
    if (!address.has_value()) {
        std::cerr << address.error().message << "\n";
        return EXIT_FAILURE;
    }
    std::cout << "port=" << address->substr(address->find(':') + 1) << std::endl;
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
    // A stand-in vanishes: open answers are not waited for.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace snipeferry::standins
