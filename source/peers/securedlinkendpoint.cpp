#include "securedlinkendpoint.h"

#include "../net/typedlinkendpoint.h"

#include <openssl/ssl.h>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>

#include <array>

namespace snipeferry::peers {

namespace {

struct TlsTraits
{
    using Server = websocketpp::server<net::LinkConfig<websocketpp::config::asio_tls>>;
    using Client = websocketpp::client<net::LinkConfig<websocketpp::config::asio_tls_client>>;

    static constexpr const char *SCHEME = "wss://";

    template<typename Endpoint>
    void prepare(Endpoint &endpoint) const
    {
        endpoint.set_tls_init_handler([provider = contextProvider](const websocketpp::connection_hdl & /*handle*/) { return provider(); });
    }

    /** Returns the common name in the certificate of the other end; empty without one. */
    template<typename Connection>
    std::string certificateName(Connection &connection) const
    {
        X509 *certificate = SSL_get1_peer_certificate(connection.get_socket().native_handle());
        if (certificate == nullptr) {
            return {};
        }
        std::array<char, 256> name{};
        X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name.data(), static_cast<int>(name.size()));
        X509_free(certificate);
        return name.data();
    }

    TlsContextProvider contextProvider;
};

} // namespace

std::unique_ptr<net::LinkEndpoint> makeTlsEndpoint(
    net::EventLoop &loop, const net::LinkEndpointSettings &settings, net::LinkEndpointEvents events, TlsContextProvider contextProvider)
{
    return std::make_unique<net::TypedLinkEndpoint<TlsTraits>>(loop, settings, std::move(events), TlsTraits{std::move(contextProvider)});
}

} // namespace snipeferry::peers
