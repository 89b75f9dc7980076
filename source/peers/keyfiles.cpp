#include "keyfiles.h"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>

#include <memory>

namespace snipeferry::peers {

namespace {

/** Deleter that frees an OpenSSL object with the given function. */
template<auto FREE>
struct OpenSslDeleter
{
    template<typename T>
    void operator()(T *object) const
    {
        FREE(object);
    }
};

using Bio = std::unique_ptr<BIO, OpenSslDeleter<BIO_free_all>>;
using Certificate = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY_free>>;
using Store = std::unique_ptr<X509_STORE, OpenSslDeleter<X509_STORE_free>>;
using StoreContext = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX_free>>;

tl::unexpected<core::Error> invalid(const std::string &file, const std::string &what)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, "Key file " + file + " " + what + "."));
}

core::Expected<Certificate> readCertificate(const std::string &file)
{
    const Bio bio(BIO_new_file(file.c_str(), "r"));
    if (!bio) {
        return invalid(file, "is missing or cannot be read");
    }
    Certificate certificate(PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr));
    if (!certificate) {
        return invalid(file, "contains no PEM certificate");
    }
    return certificate;
}

core::Expected<PrivateKey> readPrivateKey(const std::string &file)
{
    const Bio bio(BIO_new_file(file.c_str(), "r"));
    if (!bio) {
        return invalid(file, "is missing or cannot be read");
    }
    PrivateKey key(PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
    if (!key) {
        return invalid(file, "contains no PEM private key");
    }
    return key;
}

core::Expected<void> checkValidity(const X509 &certificate, const std::string &file)
{
    if (X509_cmp_current_time(X509_get0_notBefore(&certificate)) > 0) {
        return invalid(file, "is not valid yet");
    }
    if (X509_cmp_current_time(X509_get0_notAfter(&certificate)) < 0) {
        return invalid(file, "has expired");
    }
    return {};
}

bool isSignedBy(X509 *certificate, X509 *authority)
{
    const Store store(X509_STORE_new());
    const StoreContext context(X509_STORE_CTX_new());
    X509_STORE_add_cert(store.get(), authority);
    X509_STORE_CTX_init(context.get(), store.get(), certificate, nullptr);
    return X509_verify_cert(context.get()) == 1;
}

} // namespace

bool usesTls(const PeerSettings &settings)
{
    return !settings.certificateFile.empty() || !settings.privateKeyFile.empty() || !settings.authorityFile.empty();
}

core::Expected<void> checkKeyFiles(const PeerSettings &settings)
{
    // Read all three files.
    const core::Expected<Certificate> certificate = readCertificate(settings.certificateFile);
    if (!certificate) {
        return tl::make_unexpected(certificate.error());
    }
    const core::Expected<PrivateKey> key = readPrivateKey(settings.privateKeyFile);
    if (!key) {
        return tl::make_unexpected(key.error());
    }
    const core::Expected<Certificate> authority = readCertificate(settings.authorityFile);
    if (!authority) {
        return tl::make_unexpected(authority.error());
    }

    // Check that they are valid now and belong together.
    if (core::Expected<void> valid = checkValidity(**certificate, settings.certificateFile); !valid) {
        return valid;
    }
    if (core::Expected<void> valid = checkValidity(**authority, settings.authorityFile); !valid) {
        return valid;
    }
    if (X509_check_private_key(certificate->get(), key->get()) != 1) {
        return invalid(settings.privateKeyFile, "does not belong to the certificate " + settings.certificateFile);
    }
    if (!isSignedBy(certificate->get(), authority->get())) {
        return invalid(settings.certificateFile, "is not signed by the authority " + settings.authorityFile);
    }
    return {};
}

core::Expected<std::shared_ptr<boost::asio::ssl::context>> makeTlsContext(const PeerSettings &settings)
{
    if (const core::Expected<void> checked = checkKeyFiles(settings); !checked) {
        return tl::make_unexpected(checked.error());
    }
    try {
        const std::shared_ptr<boost::asio::ssl::context> context = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls);
        context->set_options(boost::asio::ssl::context::default_workarounds | boost::asio::ssl::context::no_sslv2 | boost::asio::ssl::context::no_sslv3
            | boost::asio::ssl::context::no_tlsv1 | boost::asio::ssl::context::no_tlsv1_1);
        context->use_certificate_chain_file(settings.certificateFile);
        context->use_private_key_file(settings.privateKeyFile, boost::asio::ssl::context::pem);
        context->load_verify_file(settings.authorityFile);
        context->set_verify_mode(boost::asio::ssl::verify_peer | boost::asio::ssl::verify_fail_if_no_peer_cert);
        SSL_CTX_set_session_cache_mode(context->native_handle(), SSL_SESS_CACHE_OFF);
        return context;
    } catch (const std::exception &error) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::ConfigurationInvalid, std::string("Cannot create the TLS context of peer links: ") + error.what()));
    }
}

} // namespace snipeferry::peers
