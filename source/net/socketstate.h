#pragma once

namespace snipeferry::net {

/** @brief Whether the other end of a TCP connection has closed it, reset it or shut down its sending side, also with unread bytes before that. */
bool hasOtherEndClosed(int socket);

} // namespace snipeferry::net
