#include "support/rawconnection.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace snipeferry::tests {

RawConnection::RawConnection(const std::string &address)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    int port = 0;
    sockaddr_in target = {};
    target.sin_family = AF_INET;
    const std::string host = address.substr(0, address.find(':'));
    const bool isPort = absl::SimpleAtoi(address.substr(host.size() + 1), &port) && ::inet_pton(AF_INET, host.c_str(), &target.sin_addr) == 1;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    if (!isPort || ::connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(m_socket);
        throw std::runtime_error("cannot connect to " + address);
    }
}

RawConnection::~RawConnection()
{
    ::close(m_socket);
}

bool RawConnection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool RawConnection::readOnce(absl::Time deadline)
{
    pollfd entry = {m_socket, POLLIN, 0};
    const std::int64_t milliseconds = absl::ToInt64Milliseconds(deadline - absl::Now());
    if (milliseconds <= 0 || ::poll(&entry, 1, static_cast<int>(milliseconds)) <= 0) {
        return false;
    }
    std::array<char, 65536> buffer = {};
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    m_isAtEnd = count <= 0;
    m_received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return !m_isAtEnd;
}

const std::string &RawConnection::readUntil(const std::string &text, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (m_received.find(text) == std::string::npos && readOnce(deadline)) { }
    return m_received;
}

bool RawConnection::readToEnd(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (!m_isAtEnd && readOnce(deadline)) { }
    return m_isAtEnd;
}

const std::string &RawConnection::received() const
{
    return m_received;
}

} // namespace snipeferry::tests
