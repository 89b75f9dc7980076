#include "support/fakeengine.h"
#include "support/standinserver.h"

#include <CLI/CLI.hpp>

using namespace snipeferry;

int main(int argc, char **argv)
{
    CLI::App app("fake-runner: a stand-in of a model engine");
    std::uint16_t port = 0;
    std::string name = "runner";
    std::size_t cacheBlocks = 4096;
    standins::EngineBehaviour behaviour;
    app.add_option("--port", port, "port on 127.0.0.1; 0 lets the kernel choose");
    app.add_option("--name", name, "name in answers");
    app.add_option("--slots", behaviour.slots, "requests at once; more wait");
    app.add_option("--first-token-ms", behaviour.firstTokenMs, "time before the first token");
    app.add_option("--token-ms", behaviour.tokenMs, "time before each later token");
    app.add_option("--tokens", behaviour.tokens, "tokens of an answer, at most max_tokens");
    app.add_option("--fail-permille", behaviour.failPermille, "share of requests answered with 500");
    app.add_option("--abort-after-tokens", behaviour.abortAfterTokens, "cuts each stream after this many tokens");
    app.add_option("--cache-blocks", cacheBlocks, "prompt blocks that the cache holds");
    CLI11_PARSE(app, argc, argv);

    standins::blockTerminationSignals();
    standins::FakeEngine engine(name, behaviour, cacheBlocks);
    return standins::serve(
        port, [&](const http::HttpRequest &request, const standins::ClientProbe &isClientGone) { return engine.handle(request, isClientGone); });
}
