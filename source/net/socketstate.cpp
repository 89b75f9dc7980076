#include "socketstate.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace snipeferry::net {

namespace {

bool isClosed(const pollfd &state)
{
    if (state.revents == 0) {
        return false;
    }
    if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) {
        return true;
    }
    char byte = 0;
    const ssize_t got = ::recv(state.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

bool isEstablished(int socket)
{
    pollfd state{socket, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0 && (state.revents & POLLOUT) != 0;
}

bool hasOtherEndReceivedAll(int socket)
{
    int unacknowledged = 0;
    return ::ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

bool hasOtherEndClosed(int socket)
{
    return haveOtherEndsClosed({socket}).front();
}

std::vector<bool> haveOtherEndsClosed(const std::vector<int> &sockets)
{
    std::vector<pollfd> states;
    states.reserve(sockets.size());
    for (const int socket : sockets) {
        states.push_back({socket, POLLIN | POLLRDHUP, 0});
    }
    std::vector<bool> closed(sockets.size(), false);
    if (::poll(states.data(), states.size(), 0) <= 0) {
        return closed;
    }
    for (std::size_t index = 0; index < states.size(); ++index) {
        closed[index] = isClosed(states[index]);
    }
    return closed;
}

} // namespace snipeferry::net
