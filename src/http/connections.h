// The connections of one HttpServer; private to the http library.
//
// ConnectionTable alone decides how many connections are accepted, how much memory they may hold, and which of them are closed first when others
// need their places or their memory: those that wait for their peer the longest without progress. Connections that run a request or make progress
// are never closed for others.
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <boost/intrusive/list.hpp>

namespace vanillanotch
{

// What a connection waits for.
enum class PeerWait {
    Request, // for the first byte of a request
    Rest, // for the rest of a request
    Reading, // for the peer to read a reply
    Close // for the peer to close the connection
};

enum class WaitResult {
    Ready,
    TimedOut,
    Closed // the table has closed the connection for others
};

struct ConnectionLimits {
    std::size_t open = 0; // most accepted connections
    std::size_t threads = 0; // most connections that are served at the same time
    std::size_t memory = 0; // bytes that all connections may hold; 0: not limited
};

class ConnectionTable;

// One connection, from the moment at which it has a thread. One thread at a time calls its methods: that one, or the one that passes a streamed answer on
// while that one waits.
class ServedConnection : public boost::intrusive::list_base_hook<>
{
public:
    ServedConnection(ConnectionTable &table, int descriptor);
    ~ServedConnection();
    ServedConnection(const ServedConnection &) = delete;
    ServedConnection &operator=(const ServedConnection &) = delete;

    int descriptor() const
    {
        return m_descriptor;
    }
    void beginRequest();
    void endRequest();
    // Progress is measured from here on, for the waits that follow.
    void beginWaits();
    // Counts bytes that were received or sent.
    void addProgress(std::size_t bytes);
    // Waits until the socket has the poll() events. `until`: end of the wait.
    WaitResult wait(PeerWait kind, short events, TimePoint until);
    // Reserves memory for this connection; call it before the memory is used. Waits a little for other connections' memory. Error: Overloaded.
    Result<void> reserve(std::size_t bytes);
    void reserveAnyway(std::size_t bytes); // for what exists already; may exceed the limit
    void release(std::size_t bytes);
    bool closedForOthers() const // the connection must be closed after the request that is being served, if any
    {
        return m_closed;
    }

private:
    friend class ConnectionTable;
    bool offer(PeerWait kind); // lets the table close the connection; false: it must be closed now
    bool withdraw(); // the opposite of offer(); false: the table has closed the connection

    ConnectionTable &m_table;
    const int m_descriptor;
    TimePoint m_progressAt = std::chrono::steady_clock::now(); // last time at which it had made enough progress
    std::size_t m_progressBytes = 0; // bytes since then
    std::size_t m_bytes = 0; // reserved memory; changed with the table's mutex held
    PeerWait m_kind = PeerWait::Request; // what it waits for while it is in m_stalled
    bool m_inRequest = false;
    bool m_closed = false; // closed for others; guarded by the table's mutex while the connection is in m_stalled
};

// Thread-safe. Shared by the server and the sockets that it has accepted.
class ConnectionTable : public RefCounted<ConnectionTable>
{
public:
    explicit ConnectionTable(const ConnectionLimits &limits);

    // Waits at most `timeout` until another connection may be accepted, and counts it. False: there was no place.
    bool takePlace(Duration timeout);
    void returnPlace();
    // From now on connections without a request are closed.
    void closeWaiting();
    // Waits at most `timeout` until no request is being served.
    void awaitRequests(Duration timeout);
    HttpServerUsage usage() const;

private:
    friend class ServedConnection;
    using List = boost::intrusive::list<ServedConnection, boost::intrusive::constant_time_size<false>>;

    // All of these are called with m_mutex held.
    bool fits(const ServedConnection &connection, std::size_t bytes) const;
    bool placesWanted() const; // more connections wait for a thread or to be accepted than are being closed
    bool memoryWanted() const; // more memory is wanted than the connections that are being closed hold
    bool mustClose(const ServedConnection &connection) const;
    void markClosed(ServedConnection &connection); // counts the connection as being closed
    void closeStalled(); // closes connections that wait without progress, as many as are wanted, the longest first

    const ConnectionLimits m_limits;
    mutable RankedMutex m_mutex{LockRank::Connections};
    std::condition_variable_any m_placeFreed;
    std::condition_variable_any m_memoryFreed;
    std::condition_variable_any m_requestEnded;
    List m_stalled; // connections that may be closed for others; the one that waits the longest first
    std::size_t m_open = 0; // accepted connections
    std::size_t m_served = 0; // connections that have a thread
    std::size_t m_requests = 0; // requests being received or served
    std::size_t m_acceptsWaiting = 0; // calls of takePlace() that wait
    std::size_t m_closing = 0; // connections that were closed for others and still have their thread
    std::size_t m_closingBytes = 0; // bytes that these connections hold
    std::size_t m_bytes = 0; // bytes held by all connections
    std::size_t m_wantedBytes = 0; // bytes that calls of reserve() wait for
    std::uint64_t m_releasedBytes = 0; // since the start
    bool m_closeWaiting = false;
    Counter m_closed; // connections that were closed for others
    Counter m_refused; // reservations that failed
};

// Bytes whose capacity is reserved at a connection.
class ReservedBuffer
{
public:
    explicit ReservedBuffer(ServedConnection &connection)
        : m_connection(connection)
    {
    }
    ~ReservedBuffer()
    {
        reset();
    }
    ReservedBuffer(const ReservedBuffer &) = delete;
    ReservedBuffer &operator=(const ReservedBuffer &) = delete;

    std::string &bytes()
    {
        return m_bytes;
    }
    Result<void> grow(std::size_t size); // makes the capacity at least `size`; error: Overloaded
    void reset(); // frees the memory

private:
    ServedConnection &m_connection;
    std::string m_bytes;
    std::size_t m_reserved = 0; // bytes
};

// Accepts connections within the limits of a table. While there is no place, connections wait in the system's queue.
class LimitedServerSocket final : public Poco::Net::ServerSocket
{
public:
    explicit LimitedServerSocket(Ref<ConnectionTable> table);
};

} // namespace vanillanotch
