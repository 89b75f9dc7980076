#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/peers/peertransport.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

/**
 * Loading and checking of the certificate and key files for peer links.
 */
namespace snipeferry::peers {

/** @brief Returns whether links use TLS, which is the case if any key file is set. */
bool usesTls(const PeerSettings &settings);

/**
 * @brief Reads the key files and checks that they are valid now and belong together.
 * @return an error of kind ErrorKind::ConfigurationInvalid that names the file that is missing, not valid now, of another key or not signed by the authority
 */
core::Expected<void> checkKeyFiles(const PeerSettings &settings);

/**
 * @brief Creates the TLS context of links. It requires both ends to present a certificate that the authority has signed.
 * @return the context, or the error of checkKeyFiles()
 */
core::Expected<std::shared_ptr<boost::asio::ssl::context>> makeTlsContext(const PeerSettings &settings);

} // namespace snipeferry::peers
