#pragma once

#include <absl/time/time.h>

#include <string>

namespace snipeferry::tests {

/** A TCP connection on loopback on which tests send whatever bytes they like. */
class RawConnection
{
public:
    /** @brief Connects to "a.b.c.d:port". */
    explicit RawConnection(const std::string &address);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** @brief Sends bytes; false once the other side has closed. */
    bool send(const std::string &bytes);

    /** @brief Reads until the text appears, the connection ends or the time is over; returns all bytes read so far. */
    const std::string &readUntil(const std::string &text, absl::Duration timeout);

    /** @brief Reads until the connection ends; returns false when it was still open after the time. */
    bool readToEnd(absl::Duration timeout);

    const std::string &received() const;

private:
    /** @brief Reads once; false at the end, on failure or after the time. */
    bool readOnce(absl::Time deadline);

    int m_socket = -1;
    bool m_isAtEnd = false;
    std::string m_received;
};

} // namespace snipeferry::tests
