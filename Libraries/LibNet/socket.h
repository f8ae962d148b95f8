#pragma once

#include <LibCore/result.h>
#include <LibNet/endpoint.h>

namespace merlinpier {

// Owns one file descriptor and closes it.
class descriptor {
public:
    explicit descriptor(int number = -1)
        : m_number(number)
    {
    }
    descriptor(descriptor&& other) noexcept
        : m_number(other.release())
    {
    }
    descriptor& operator=(descriptor&& other) noexcept;
    ~descriptor();

    int number() const { return m_number; }
    bool isValid() const { return m_number >= 0; }
    int release();

private:
    int m_number { -1 };
};

// Returns a listening TCP socket that does not block; Unavailable if the address cannot be used.
result<descriptor> listenOn(endpoint const&);

// Returns the port that a socket is bound to.
std::uint16_t boundPort(descriptor const&);

// Begins to connect a socket that does not block, from the given local address, so that the other side sees the number
// that this VM is known by; Unavailable if that fails at once.
result<descriptor> beginConnect(endpoint const& to, std::string const& localAddress);

// Returns the error that ended an attempt to connect, or 0.
int connectError(descriptor const&);

// One connection taken from a listening socket.
struct accepted_socket {
    descriptor socket;
    endpoint from;
};

// Takes the next waiting connection; the socket is invalid if there is none, and errno tells why.
accepted_socket acceptNext(descriptor const& listening);

// The kernel no longer gives the connection up when sent data stays unacknowledged or the other side's window stays
// closed for some seconds. It does not tell a peer that has vanished from one that reads nothing for a while.
void disableStallTimeout(descriptor const&);

// Returns Unavailable with the text of the error number.
error networkError(std::string const& what, int errorNumber);
// Makes an error for a connection that could not be opened: Refused if nobody listens there, otherwise Unavailable.
error connectFailure(endpoint const& to, int errorNumber);

} // namespace merlinpier
