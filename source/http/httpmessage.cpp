#include "snipeferry/http/httpmessage.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace snipeferry::http {

namespace {

constexpr std::array<const char *, 14> CONNECTION_HEADERS = {"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect", "Accept-Encoding", "Via"};

} // namespace

bool isHeaderName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string headerValue(const core::Headers &headers, const std::string &name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const core::Header &header) { return isHeaderName(header.name, name); });
    return it == headers.end() ? "" : it->value;
}

bool isConnectionHeader(const std::string &name)
{
    return std::any_of(CONNECTION_HEADERS.begin(), CONNECTION_HEADERS.end(), [&](const char *header) { return isHeaderName(name, header); });
}

} // namespace snipeferry::http
