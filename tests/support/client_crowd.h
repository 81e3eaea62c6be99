// Callers that are not under our control: many connections to one address, each of which sends a message of its own kind and reads as much of the
// reply as it is told to. One thread serves all of them, so a test can open some hundreds. Also reads what a process uses from /proc.
//
// Index of sections:
//   [CROWD]  connections of such callers
//   [USAGE]  memory and descriptors of a process
#pragma once

#include "base/base.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace vanillanotch::test
{

//-----------------------------------------------------------------------------
// [CROWD]
//-----------------------------------------------------------------------------

// What one caller sends: `begin`, then `unit` as often as `repeats` says, then `end`. The unit is shared by all callers, so a long message takes
// no memory in the test.
struct CrowdMessage {
    std::string begin;
    std::string unit;
    std::size_t repeats = 0;
    std::string end;

    std::size_t size() const
    {
        return begin.size() + unit.size() * repeats + end.size();
    }
};

// How much a caller reads of what the server sends. All connections have a small receive buffer, so that unread replies stay at the server.
enum class CrowdReading {
    Nothing, // bytes stay in the socket until the caller disconnects
    Slowly, // one byte in each round of exchange() and readFor()
    Everything
};

// One chunk of a chunked body with `size` bytes of data. Size 0 returns the last chunk without trailers.
std::string encodeChunk(std::size_t size);

class ClientCrowd
{
public:
    explicit ClientCrowd(std::string address); // IP:port
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    // Opens `count` connections that will send `message` and read as `reading` says. Returns how many were opened: a server may refuse some.
    std::size_t open(std::size_t count, const CrowdMessage &message, CrowdReading reading = CrowdReading::Everything);
    // Sends and reads on all connections until each has sent its message or has been closed by the server. Gives up after `limit`, or when no
    // connection has made progress for `pause`: a server may stop reading.
    void exchange(Duration limit = std::chrono::seconds(60), Duration pause = std::chrono::seconds(3));
    // Reads on all connections for this time, as each one's `reading` says, and sends what is left. Ends earlier when all have been closed.
    void readFor(Duration time);
    void disconnect(); // closes all connections

    std::size_t connected() const; // connections that neither side has closed, as far as exchange() has seen
    std::size_t sentWhole() const; // connections that have sent their whole message
    std::size_t answered(int status) const; // connections whose reply began with this status

private:
    struct Caller {
        int descriptor = -1; // -1: closed
        std::size_t message = 0; // index in m_messages
        CrowdReading reading = CrowdReading::Everything;
        std::size_t sent = 0;
        std::string replyBegin; // first bytes of the reply
    };
    bool serveOnce(); // waits for a short time at most, then sends and reads once on each connection; true: some connection made progress
    bool hasUnsent() const; // some connection that is open has not sent its whole message
    bool send(Caller &caller); // true: bytes were sent, or the connection ended
    bool receive(Caller &caller); // true: bytes were received, or the connection ended
    static void close(Caller &caller);

    const std::string m_address;
    std::vector<CrowdMessage> m_messages;
    std::vector<Caller> m_callers;
};

//-----------------------------------------------------------------------------
// [USAGE]
//-----------------------------------------------------------------------------

std::size_t residentBytes(pid_t process); // VmRSS; 0: the process is gone
std::size_t peakResidentBytes(pid_t process); // VmHWM, the largest resident memory since the start of the program; 0: the process is gone
std::size_t openDescriptors(pid_t process); // entries of /proc/PID/fd; 0: the process is gone

} // namespace vanillanotch::test
