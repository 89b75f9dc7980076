#include "socketstate.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace snipeferry::net {

bool hasOtherEndClosed(int socket)
{
    pollfd state{socket, POLLIN | POLLRDHUP, 0};
    if (::poll(&state, 1, 0) <= 0) {
        return false;
    }
    if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) {
        return true;
    }
    char byte = 0;
    const ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace snipeferry::net
