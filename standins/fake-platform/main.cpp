#include "support/fakeplatform.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

/**
 * Stand-in of the platform's key-value service, directory and instance list.
 */
int main(int argc, char **argv)
{
    int port = 0;
    std::string loadFile;
    CLI::App app("Stand-in of the platform's key-value service");
    app.add_option("--port", port, "Port on the loopback address; 0 lets the kernel choose");
    app.add_option("--load", loadFile, "JSON object of keys and values to start with");
    CLI11_PARSE(app, argc, argv);

    // Signals are waited for below; threads that are started from here on leave them alone.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    snipeferry::standins::FakePlatform platform;
    try {
        if (!loadFile.empty()) {
            std::ostringstream text;
            text << std::ifstream(loadFile).rdbuf();
            platform.load(text.str());
        }
    } catch (const std::exception &error) {
        std::cerr << loadFile << ": " << error.what() << '\n';
        return 2;
    }
    const int bound = platform.start(port);
    if (bound == 0) {
        std::cerr << "port " << port << " cannot be opened\n";
        return 1;
    }
    std::cout << "port=" << bound << std::endl;

    int received = 0;
    sigwait(&signals, &received);
    platform.stop();
    return 0;
}
