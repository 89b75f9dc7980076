#include "typedlinkendpoint.h"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace snipeferry::net {

namespace {

struct PlainTraits
{
    using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
    using Client = websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;

    static constexpr const char *SCHEME = "ws://";

    template<typename Endpoint>
    void prepare(Endpoint & /*endpoint*/) const
    {
    }

    template<typename Connection>
    std::string certificateName(Connection & /*connection*/) const
    {
        return {};
    }
};

} // namespace

std::unique_ptr<LinkEndpoint> makePlainEndpoint(EventLoop &loop, const LinkEndpointSettings &settings, LinkEndpointEvents events)
{
    return std::make_unique<TypedLinkEndpoint<PlainTraits>>(loop, settings, std::move(events), PlainTraits());
}

} // namespace snipeferry::net
