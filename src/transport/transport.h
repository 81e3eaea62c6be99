// vanillanotch transport library: strict HTTP/1.1 over sockets whose every wait is bounded.
//
// Index of sections:
//   [MESSAGES]  heads, headers, framing of bodies; anything ambiguous is an error
//   [SOCKETS]   Connection, CallerWatch, Signal
//   [CALLS]     UpstreamCall: one request to one server on a connection of its own
//   [SERVER]    FrontServer, FrontExchange, FrontHandler
//
// Why not POCO's HTTP server: it takes repeated lengths, folded headers and signed sizes. Sockets are POCO's.
#pragma once

#include "base/base.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>

struct pollfd;

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [MESSAGES]
//-----------------------------------------------------------------------------

struct HeaderField {
    std::string name;
    std::string value;
};

// Header fields in the order in which they came. Names compare without case.
class Headers
{
public:
    const std::string *find(std::string_view name) const; // the first one; nullptr: absent
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    void remove(std::string_view name);
    bool listContains(std::string_view name, std::string_view token) const; // comma-separated, without case
    const std::vector<HeaderField> &all() const
    {
        return m_fields;
    }

private:
    std::vector<HeaderField> m_fields;
};

bool equalIgnoringCase(std::string_view a, std::string_view b);
bool isHopByHopHeader(std::string_view headerName); // hop-by-hop, RFC 9110 section 7.6.1

struct RequestHead {
    std::string method;
    std::string target;
    int minorVersion = 1; // HTTP/1.x
    Headers headers;
};

struct ReplyHead {
    int status = 0;
    int minorVersion = 1;
    Headers headers;
};

enum class BodyKind { None, Length, Chunked, UntilClose };

struct BodyFraming {
    BodyKind kind = BodyKind::None;
    std::size_t length = 0; // bytes; for BodyKind::Length
};

// `block`: everything up to and including the empty line. MalformedRequest.
Result<RequestHead> parseRequestHead(std::string_view block);
Result<BodyFraming> requestFraming(const RequestHead &head); // MalformedRequest
// InvalidReply.
Result<ReplyHead> parseReplyHead(std::string_view block);
Result<BodyFraming> replyFraming(const ReplyHead &head); // InvalidReply

std::string_view reasonPhrase(int status);

// Chunked coding as of RFC 9112, section 7.1; no sign, no space before a size, no bare line feed.
class ChunkDecoder
{
public:
    // Moves decoded bytes from the front of `in` to the end of `out`. MalformedRequest: no proper coding.
    Result<void> feed(std::string &in, std::string &out);
    bool complete() const
    {
        return m_state == State::Done;
    }

private:
    enum class State { Size, Data, DataEnd, Trailer, Done };
    Result<bool> takeLine(std::string &in, std::string &line); // false: not whole yet
    State m_state = State::Size;
    std::size_t m_left = 0;
    std::size_t m_trailerBytes = 0;
};

void appendChunk(std::string &out, std::string_view data); // data isn't empty
extern const std::string_view LastChunk;

//-----------------------------------------------------------------------------
// [SOCKETS]
//-----------------------------------------------------------------------------

enum class IoState { Progress, WouldBlock, Closed, Reset };

// A non-blocking socket and what it has received so far.
class Connection
{
public:
    explicit Connection(const Poco::Net::StreamSocket &socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int descriptor() const
    {
        return m_descriptor;
    }
    std::string &received()
    {
        return m_received;
    }
    IoState receive(); // reads what is there, up to one buffer
    IoState send(std::string_view &data); // drops from the front what was taken
    void abort(); // a reset in place of an orderly end
    void close();

private:
    Poco::Net::StreamSocket m_socket;
    int m_descriptor = -1;
    std::string m_received;
};

// Wakes a thread that waits on sockets.
class WakeupSignal : public RefCounted<WakeupSignal>
{
public:
    WakeupSignal();
    ~WakeupSignal();
    WakeupSignal(const WakeupSignal &) = delete;
    WakeupSignal &operator=(const WakeupSignal &) = delete;
    void raise();
    void clear();
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor = -1;
};

// Tells whether the caller is still there while something else is awaited.
class CancellationWatch
{
public:
    virtual ~CancellationWatch() = default;
    virtual bool cancelled() const = 0;
    virtual void preparePoll(pollfd &entry) const = 0; // descriptor -1: nothing to watch
    virtual void checkPoll(const pollfd &entry) = 0; // after the wait
};

class NeverCancelled final : public CancellationWatch
{
public:
    bool cancelled() const override
    {
        return false;
    }
    void preparePoll(pollfd &entry) const override;
    void checkPoll(const pollfd & /*entry*/) override
    {
    }
};

using PollTime = std::chrono::duration<int, std::milli>; // as poll() and epoll_wait() count
PollTime pollTimeout(TimePoint until); // rounded up; 0 when it has passed

// Waits for the signal. Errors: CallerGone, DeadlineExceeded.
Result<void> awaitSignal(WakeupSignal &signal, CancellationWatch &caller, TimePoint until);

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

struct UpstreamSettings {
    std::chrono::milliseconds connectTimeout{300}; // a few round trips between data centres; beyond it the server is unreachable
    std::chrono::milliseconds unacknowledgedLimit{2500}; // TCP_USER_TIMEOUT: sent bytes that nobody acknowledges
    std::chrono::seconds keepAliveIdle{1}; // silence before the first keep-alive probe
    std::chrono::seconds keepAliveInterval{1}; // between two probes
    int keepAliveProbes = 2; // unanswered ones that end the connection
    std::size_t headLimit = 64 * 1024; // bytes of a reply's head
};

struct UpstreamFailure {
    ErrorCode code = ErrorCode::ConnectFailed; // ConnectFailed, ConnectionLost, ServerTimeout, InvalidReply, CallerGone
    bool maybeSent = false; // a byte may have left
    bool connectionRefused = false; // the peer's system answered that nobody listens
};

// One request on a connection of its own, closed with the object: what a server sends too late or twice can reach no other
// request.
class UpstreamCall
{
public:
    explicit UpstreamCall(const UpstreamSettings &settings);

    tl::expected<void, UpstreamFailure> open(const std::string &address, TimePoint until, CancellationWatch &caller);
    // Sends the request and waits for the reply's head. A reply may come before all of the request is sent.
    tl::expected<ReplyHead, UpstreamFailure> exchange(std::string request, TimePoint until, CancellationWatch &caller);
    // Waits for the head again, after exchange() or an earlier wait ended with ServerTimeout.
    tl::expected<ReplyHead, UpstreamFailure> awaitHead(TimePoint until, CancellationWatch &caller);
    // Waits for more of the body and appends it, decoded. True: the body is complete.
    tl::expected<bool, UpstreamFailure> readBody(std::string &out, TimePoint until, CancellationWatch &caller);
    // Reads the whole body. InvalidReply: longer than `limit` bytes.
    tl::expected<std::string, UpstreamFailure> readAll(std::size_t limit, TimePoint until, CancellationWatch &caller);

private:
    UpstreamFailure failure(ErrorCode code) const;
    tl::expected<void, UpstreamFailure> waitForBytes(TimePoint until, CancellationWatch &caller);
    tl::expected<bool, UpstreamFailure> decode(std::string &out, bool ended, bool reset);
    std::optional<Result<ReplyHead>> takeHead();

    const UpstreamSettings &m_settings;
    std::unique_ptr<Connection> m_connection;
    std::string m_request;
    std::string_view m_unsent;
    bool m_sent = false;
    bool m_sendBroken = false;
    bool m_ended = false;
    bool m_reset = false;
    BodyFraming m_framing;
    ChunkDecoder m_chunks;
    std::size_t m_bodyRead = 0;
    bool m_complete = false;
};

//-----------------------------------------------------------------------------
// [SERVER]
//-----------------------------------------------------------------------------

struct FrontLimits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headTimeout{3000}; // for a whole head, from its first byte
    std::chrono::milliseconds bodyTimeout{10000}; // for a whole body
    std::chrono::milliseconds idleTimeout{15000}; // keep-alive without a request
};

class FrontConnection;
class FrontServer;

// One request that has been read whole, and its answer.
class FrontExchange final : public CancellationWatch
{
public:
    FrontExchange(FrontServer &server, FrontConnection &connection, RequestHead head, std::string body, TimePoint arrived);

    const RequestHead &head() const
    {
        return m_head;
    }
    const std::string &body() const
    {
        return m_body;
    }
    std::string_view path() const; // without the query
    TimePoint arrived() const // its first byte was here
    {
        return m_arrived;
    }

    // `headers` hold no framing fields; they are set here. False: the caller has gone.
    bool reply(int status, const Headers &headers, std::string_view body, TimePoint until);
    bool beginStream(int status, const Headers &headers, std::string_view firstBytes, TimePoint until);
    bool streamBytes(std::string_view bytes, TimePoint until);
    bool endStream(TimePoint until);
    void abort(); // ends the connection, so that nothing sent so far looks complete
    bool replied() const
    {
        return m_answered;
    }
    void closeAfterReply()
    {
        m_close = true;
    }

    bool cancelled() const override;
    void preparePoll(pollfd &entry) const override;
    void checkPoll(const pollfd &entry) override;

private:
    friend class FrontServer;
    std::string encodeHead(int status, const Headers &headers) const;
    bool send(std::string_view bytes, TimePoint until);

    FrontServer &m_server;
    FrontConnection &m_connection;
    RequestHead m_head;
    std::string m_body;
    TimePoint m_arrived;
    bool m_answered = false;
    bool m_streaming = false;
    bool m_chunked = false;
    bool m_close = false;
};

class FrontHandler
{
public:
    virtual ~FrontHandler() = default;
    virtual void serve(FrontExchange &exchange) = 0; // replies or aborts; runs on a worker of the pool
    virtual std::string describeError(ErrorCode code) = 0; // body of an answer to what couldn't be read
    virtual FrontLimits limits() = 0; // in force for the next request
};

// Takes connections and hands each one that has something to read to a worker. Between two requests a connection costs no
// worker.
class FrontServer
{
public:
    FrontServer(std::string name, const std::string &address, FrontHandler &handler, GrowingPool &pool);
    ~FrontServer();
    void beginClosing(); // answers carry "Connection: close"
    void closeIdle(); // connections without a request; new ones are no longer taken
    void stop(); // ends everything; the pool's workers must have finished their requests
    bool closing() const
    {
        return m_closing;
    }
    std::size_t activeRequests() const // requests that have begun to come in
    {
        return m_busy;
    }
    std::string address() const;

private:
    friend class FrontExchange;
    struct Events;
    void watch();
    void accept();
    void ready(int descriptor);
    void serve(FrontConnection &connection);
    bool serveOne(FrontConnection &connection); // false: the connection ends
    bool readHead(FrontConnection &connection, const FrontLimits &limits, TimePoint until, std::string &block);
    Result<std::string> readBody(FrontConnection &connection, const BodyFraming &framing, const FrontLimits &limits);
    void refuse(FrontConnection &connection, ErrorCode code, int status);
    void park(FrontConnection &connection);
    void drop(FrontConnection &connection);
    void sweep();

    std::string m_name;
    FrontHandler &m_handler;
    GrowingPool &m_pool;
    Poco::Net::ServerSocket m_listener;
    int m_epoll = -1;
    Ref<WakeupSignal> m_stop;
    std::atomic<bool> m_closing{false};
    std::atomic<bool> m_accepting{true};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_busy{0};
    RankedMutex m_mutex{LockRank::Connections};
    std::map<int, std::unique_ptr<FrontConnection>> m_connections;
    std::thread m_thread;
};

} // namespace vanillanotch
