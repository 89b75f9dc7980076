#pragma once

#include <vector>

namespace snipeferry::net {

/** @brief Whether the other end of a TCP connection has closed it, reset it or shut down its sending side, also with unread bytes before that. */
bool hasOtherEndClosed(int socket);

/** @brief The same for many connections with one system call. @return for each socket whether its other end has closed */
std::vector<bool> haveOtherEndsClosed(const std::vector<int> &sockets);

/** @brief Whether a connection that is being opened is established, also if the event loop has not reported that yet. */
bool isEstablished(int socket);

/** @brief Whether the other end has received all bytes that were written to a TCP connection; true if that cannot be found out. */
bool hasOtherEndReceivedAll(int socket);

} // namespace snipeferry::net
