#include "support/fakeservice.h"
#include "support/standinserver.h"

#include <CLI/CLI.hpp>

using namespace snipeferry;

int main(int argc, char **argv)
{
    CLI::App app("fake-service: a stand-in of a plain service that counts its effects");
    std::uint16_t port = 0;
    standins::ServiceBehaviour behaviour;
    app.add_option("--port", port, "port on 127.0.0.1; 0 lets the kernel choose");
    app.add_option("--delay-ms", behaviour.delayMs, "time before each answer");
    app.add_flag("--check-fencing", behaviour.checksFencing, "refuse old fencing numbers");
    CLI11_PARSE(app, argc, argv);

    standins::blockTerminationSignals();
    standins::FakeService service(behaviour);
    return standins::serve(port, [&](const http::HttpRequest &request, const standins::ClientProbe & /*isClientGone*/) { return service.handle(request); });
}
