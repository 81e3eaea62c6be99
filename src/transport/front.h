// Private header of the transport library: the parts of FrontServer. RequestReader assembles a request from the bytes of a connection; FrontConnection is
// a caller's connection.
#pragma once

#include "transport/transport.h"

namespace vanillanotch
{

// Assembles one request from the bytes that a caller sends, in as many pieces as they come. Uses no socket and doesn't wait.
class RequestReader
{
public:
    enum class State {
        NeedsBytes,
        Complete, // takeHead() and takeBody() return the request
        Refused // error() and status() say why; nothing that follows may be read as a request
    };

    // Takes what belongs to the request from the front of `received`. Call it again when more bytes have come.
    State advance(std::string &received, const FrontLimits &limits, MemoryGrant &memory);
    // True once after a head has been read whose caller waits for "100 Continue".
    bool takeContinue();
    bool headComplete() const
    {
        return m_headComplete;
    }
    RequestHead takeHead()
    {
        return std::move(m_head);
    }
    std::string takeBody()
    {
        return std::move(m_body);
    }
    ErrorCode error() const
    {
        return m_error;
    }
    int status() const // HTTP status of the refusal
    {
        return m_status;
    }
    std::size_t heldBytes() const; // as allocated

private:
    State refuse(ErrorCode code, int status);
    State readHead(std::string &received, const FrontLimits &limits, MemoryGrant &memory);
    State readBody(std::string &received, const FrontLimits &limits, MemoryGrant &memory);

    bool m_headComplete = false;
    std::size_t m_searched = 0; // bytes of the head that don't hold its end
    bool m_awaitsContinue = false;
    RequestHead m_head;
    BodyFraming m_framing;
    ChunkDecoder m_chunks;
    std::string m_body;
    ErrorCode m_error = ErrorCode::MalformedRequest;
    int m_status = 0;
};

// Bytes of a reply that the caller has not taken yet, after the handler has returned.
struct UnsentReply {
    std::string text;
    std::size_t sent = 0;
    TimePoint until{}; // the connection is closed then
    Duration pause = Duration::max(); // or when nothing was taken for this long
    bool empty() const
    {
        return sent == text.size();
    }
    void clear()
    {
        freeMemory(text);
        sent = 0;
    }
};

// A caller's connection. The thread that has taken it from `Parked` states owns it: the event thread while a request is received or what is left of a
// reply is sent, a thread of the pool while the request is served. In the other states the server's mutex guards it.
class FrontConnection final : public MemoryGrant
{
public:
    enum class State {
        Owned, // some thread uses it
        Idle, // between two requests
        Receiving, // waits for further bytes of a request
        Sending, // waits until the caller takes what is left of its reply
        Draining // its request was refused; what the caller still sends is discarded, so that the caller can read the reply
    };

    FrontConnection(FrontServer &owner, MemoryBudget &budget, const Poco::Net::StreamSocket &socket)
        : server(owner)
        , io(socket)
        , descriptor(io.descriptor())
        , reservation(budget)
        , movedAt(std::chrono::steady_clock::now())
    {
    }
    // Takes memory for what the reader and this connection's buffers hold; closes stalled connections when the budget is short.
    bool hold(std::size_t readerBytes) override;
    bool holdForHandler(std::size_t bytes); // the same for what the request's handler holds
    void resetReader() // for the next request
    {
        RequestReader next;
        std::swap(reader, next); // an assignment would keep the memory of the strings
    }
    bool hasArrivedBytes() const; // bytes that were not received yet
    // Counts bytes that the caller has sent or taken. Few bytes now and then don't count as progress.
    void recordProgress(std::size_t bytes, TimePoint now);

    FrontServer &server;
    Connection io;
    const int descriptor; // key in FrontServer::m_connections; keeps its value after the socket is closed
    MemoryReservation reservation;
    std::size_t requestBytes = 0; // of the request that is served
    std::size_t handlerBytes = 0; // held by the handler of the request
    RequestReader reader;
    FrontLimits limits; // of the request that is received
    UnsentReply unsent;
    TimePoint arrived{}; // when the first bytes of the request were received
    TimePoint headRead{}; // when the head had been received
    std::size_t drained = 0; // bytes that were discarded
    bool disconnected = false; // the caller disconnected, did not take a reply in time, or its connection was aborted
    bool active = false; // a request is being received or served on it
    bool closeAfterReply = false;

    // Guarded by the server's mutex, unless the connection is owned and not blocked:
    State state = State::Owned;
    bool registered = false; // with epoll
    std::size_t parkedBytes = 0; // counted in FrontServer::m_parkedBytes
    TimePoint deadline{}; // end of a parked state
    TimePoint movedAt; // last progress
    std::size_t movedBytes = 0; // since then
    bool blocked = false; // a thread of the pool waits for its caller to take a part of a stream
    bool used = false; // a request was received or begun on it
};

} // namespace vanillanotch
