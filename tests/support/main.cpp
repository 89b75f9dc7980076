#define CATCH_CONFIG_RUNNER
#include "snipeferry/http/httpclient.h"
#include "support/threadedserver.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

int main(int argc, char **argv)
{
    // cpp-httplib fills static variables at its first request; its package is built without the thread sanitizer, which then does
    // not see that this happens once. Here it happens before any thread of a test.
    {
        standins::ThreadedServer server([](const http::HttpRequest &, const standins::ClientProbe &) { return standins::StandinAnswer(); });
        const core::Expected<std::string> address = server.start(0);
        if (address) {
            http::ClientRequest request;
            request.address = *address;
            request.method = "POST";
            request.body = "first";
            http::fetch(request, 1024);
        }
    }
    return Catch::Session().run(argc, argv);
}
