// vanillanotch transport library: strict HTTP/1.1 over non-blocking sockets. Every wait has a time limit. vanillanotch-entryd calls
// and serves through it; vanillanotchd and the command-line tool use the http library (http/http.h), which reads requests and replies with its parsers.
//
// Index of sections:
//   [SOCKETS]   Connection, WakeupSignal, CancellationWatch
//   [CALLS]     UpstreamCall: one request to one server, on a connection of its own
//   [SERVER]    FrontServer, FrontExchange, FrontHandler: the server side
// transport/messages.h: parsing of heads, headers and body framing; an ambiguous message is an error.
// transport/budget.h: the memory that a server may hold on behalf of its callers.
//
// POCO's HTTP server isn't used because it accepts repeated Content-Length fields, folded headers and signed sizes. Only the
// sockets are POCO's.
#pragma once

#include "transport/budget.h"
#include "transport/messages.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>

struct pollfd;

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [SOCKETS]
//-----------------------------------------------------------------------------

enum class IoState {
    Progress, // bytes were received or sent
    WouldBlock, // nothing can be received or sent at the moment
    Closed, // the peer closed its sending side, without a failure
    Reset // the connection failed
};

using MessageParts = std::array<std::string_view, 3>; // sent one after the other; any of them may be empty

// A non-blocking socket and the bytes received from it that have not been parsed yet.
constexpr std::chrono::milliseconds AcknowledgementCheck{5}; // between two calls of Connection::acknowledged(): no event tells of the last acknowledgement

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
    const std::string &received() const
    {
        return m_received;
    }
    static constexpr std::size_t ReceiveBytes = 16 * 1024; // most that receive() reads
    // Reads once and appends to received(). The bytes that came before a failure can still be read; after them the result is Reset, also when the failure
    // was first met by send().
    IoState receive();
    IoState send(std::string_view &data); // removes from the front of `data` the bytes that the socket accepted
    IoState send(MessageParts &parts); // the same for a message in several parts, by one call
    // Whether the peer's system has taken all that was sent, as far as the system says. A peer that has ended its sending in order and leaves a part untaken
    // may still reset the connection.
    bool acknowledged() const;
    bool failed(); // also asks for a failure that no call has met yet
    void resetOnClose(); // from now on close() resets the connection, so that the peer sees an error instead of an orderly end
    void close();

private:
    IoState stateAfterError(); // after a call that has set errno

    Poco::Net::StreamSocket m_socket;
    int m_descriptor = -1;
    bool m_failed = false; // the system reports a failure only once; later reads look like an orderly end
    std::string m_received;
};

// Wakes a thread that waits in poll() or epoll_wait(); an eventfd.
class WakeupSignal : public RefCounted<WakeupSignal>
{
public:
    WakeupSignal();
    ~WakeupSignal();
    WakeupSignal(const WakeupSignal &) = delete;
    WakeupSignal &operator=(const WakeupSignal &) = delete;
    void raise(); // makes the descriptor readable until clear()
    void clear();
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor = -1;
};

// Ends a thread's wait in poll() when the wait is cancelled, for example because the caller disconnected. The thread adds the entry that
// preparePoll() fills to the entries that it polls, and passes it to checkPoll() afterwards.
class CancellationWatch
{
public:
    virtual ~CancellationWatch() = default;
    virtual bool cancelled() const = 0;
    virtual void preparePoll(pollfd &entry) const = 0; // call it before poll(); sets the descriptor to -1 when there is nothing to watch
    virtual void checkPoll(const pollfd &entry) = 0; // call it after poll(); updates what cancelled() returns
};

// For waits that are never cancelled.
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

using PollTime = std::chrono::duration<int, std::milli>; // the unit of timeouts of poll() and epoll_wait()
PollTime pollTimeout(TimePoint until); // time left until then, rounded up; 0: it has passed

// Waits until the signal is raised, and clears it. Errors: CallerDisconnected (the wait was cancelled), DeadlineExceeded (`until` passed).
Result<void> awaitSignal(WakeupSignal &signal, CancellationWatch &cancellation, TimePoint until);

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

class Dialer;

struct UpstreamSettings {
    // For making a connection; a server that takes longer counts as unreachable. It allows several round trips between data centres.
    std::chrono::milliseconds connectTimeout{300};
    // TCP_USER_TIMEOUT: fails the connection when sent bytes stay unacknowledged this long. On Linux it also decides when unanswered keep-alive probes end an
    // idle connection, whatever keepAliveProbes says: at the first probe that is due after this time. The two agree here, 3 s of silence; a server may be
    // silent for a second or somewhat more.
    std::chrono::milliseconds unacknowledgedTimeout{2500};
    std::chrono::seconds keepAliveIdle{1}; // TCP_KEEPIDLE: silence before the first keep-alive probe
    std::chrono::seconds keepAliveInterval{1}; // TCP_KEEPINTVL: time between two probes
    int keepAliveProbes = 2; // TCP_KEEPCNT: this many unanswered probes end the connection
    Dialer *dialer = nullptr; // makes the connections; nullptr: they are made directly
    ReplyHeadLimits headLimits;
};

// Settings for calls that wait for changes at the other end (long polls). A dead connection fails within 2 s: one unanswered probe is enough,
// since a call that is ended by mistake is simply repeated. Its unacknowledgedTimeout of 1.5 s ends the probes at the same moment.
UpstreamSettings longPollSettings();

// How long a reply may take.
struct ReplyLimits {
    Duration head{}; // from the beginning of the call until the head of the reply has come
    Duration pause{}; // longest time in which no byte of the body comes
    Duration whole{}; // the whole call

    static ReplyLimits within(Duration timeout) // a call that must have ended by then
    {
        return ReplyLimits{timeout, timeout, timeout};
    }
    // Until when the next byte is awaited, `now` being the moment at which the last one came.
    TimePoint nextByteBy(TimePoint begun, TimePoint now) const
    {
        return std::min(begun + whole, now + pause);
    }
};

// Why a call to a server failed.
struct UpstreamFailure {
    // UpstreamCall sets ConnectFailed, ConnectionLost, ServerTimeout, InvalidReply or CallerDisconnected. Code that judges a complete reply may
    // set others, such as WrongInstance, ServerBusy or ServerRejected.
    ErrorCode code = ErrorCode::ConnectFailed;
    bool maybeSent = false; // at least one byte of the request may have left this node
    bool connectionRefused = false; // the server's host refused or reset the attempt to connect: the host is up, but no process listens at the address
};

// Makes connections to servers. Thread-safe.
class Dialer
{
public:
    virtual ~Dialer() = default;
    // Connects to `address` (IP:port) by `until`. Errors: ConnectFailed, CallerDisconnected.
    virtual tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dial(const std::string &address, TimePoint until, CancellationWatch &cancellation) = 0;
    // Whether the host at `address` refuses connections, as after a crash of its process. Connects, and closes the connection at once.
    virtual bool refused(const std::string &address, TimePoint until) = 0;
};

// Connects this VM to `address`, within the connect timeout and not beyond `until`. Errors as Dialer::dial().
tl::expected<std::unique_ptr<Connection>, UpstreamFailure> connectDirectly(const UpstreamSettings &settings, const std::string &address, TimePoint until,
                                                                           CancellationWatch &cancellation);

// Sends one request to a server and receives the reply. The connection is used for nothing else and is closed when the object is
// destroyed, so bytes that a server sends too late or twice can't be taken for another reply. `settings` must outlive the object.
class UpstreamCall
{
public:
    explicit UpstreamCall(const UpstreamSettings &settings);

    // Connects to `address` (IP:port), within the connect timeout and not beyond `until`. Errors: ConnectFailed, CallerDisconnected.
    tl::expected<void, UpstreamFailure> open(const std::string &address, TimePoint until, CancellationWatch &cancellation);
    // Sends the encoded request and waits for the reply's head; interim replies (1xx) are skipped. The reply may come before the
    // whole request has been sent. Errors, also of the methods below: ConnectionLost, ServerTimeout, InvalidReply, CallerDisconnected.
    tl::expected<ReplyHead, UpstreamFailure> exchange(std::string request, TimePoint until, CancellationWatch &cancellation);
    // Waits for the head again, after exchange() or an earlier wait ended with ServerTimeout.
    tl::expected<ReplyHead, UpstreamFailure> awaitHead(TimePoint until, CancellationWatch &cancellation);
    // Waits for more of the body and appends it to `out`, decoded. True: the body is complete; false: call it again for the rest.
    tl::expected<bool, UpstreamFailure> readBody(std::string &out, TimePoint until, CancellationWatch &cancellation);
    // True when only the end of the connection marks the end of the body, so that a body that broke off can look complete.
    bool bodyEndsWithConnection() const
    {
        return m_framing.kind == BodyKind::UntilClose;
    }
    // Waits for the whole body and returns it, decoded. InvalidReply: the body is longer than `limit` bytes.
    tl::expected<std::string, UpstreamFailure> readAll(std::size_t limit, TimePoint until, CancellationWatch &cancellation);
    // The same for a body that may come slowly: `limits` count from `begun`.
    tl::expected<std::string, UpstreamFailure> readAll(std::size_t limit, const ReplyLimits &limits, TimePoint begun, CancellationWatch &cancellation);
    // As the first, but asks for memory before it reads on; the server's bytes wait in the system's buffers meanwhile. Overloaded: there was none.
    tl::expected<std::string, UpstreamFailure> readAll(std::size_t limit, TimePoint until, CancellationWatch &cancellation, MemoryGrant &memory);

    // Gives the connection away, with the bytes that came after the reply's head; the call ends.
    std::unique_ptr<Connection> takeConnection()
    {
        return std::move(m_connection);
    }

    // Dialer::refused() of the settings' dialer, or by a direct connection.
    static bool refused(const UpstreamSettings &settings, const std::string &address, TimePoint until);

private:
    UpstreamFailure failure(ErrorCode code) const;
    tl::expected<std::string, UpstreamFailure> readAll(std::size_t limit, const std::function<TimePoint()> &nextByteBy, CancellationWatch &cancellation,
                                                       MemoryGrant &memory);
    tl::expected<void, UpstreamFailure> waitForBytes(TimePoint until, CancellationWatch &cancellation);
    // Moves the received bytes of the body to `out`, decoded. `ended`: the connection has ended, so no further bytes will be received;
    // `reset`: it ended by a failure, not by an orderly close. Returns true when the body is complete.
    tl::expected<bool, UpstreamFailure> decode(std::string &out, bool ended, bool reset);

    const UpstreamSettings &m_settings;
    std::unique_ptr<Connection> m_connection;
    std::string m_request;
    std::string_view m_unsent; // the part of m_request that the socket has not accepted yet
    bool m_maybeSent = false; // at least one byte of the request may have left
    bool m_sendFailed = false; // sending failed; an early reply may still be readable
    bool m_serverEnded = false; // the server has ended its sending in order; the rest of the request is still sent, and must be acknowledged
    bool m_receiveEnded = false; // no further bytes will be received
    bool m_reset = false; // the connection ended by a failure, not by an orderly close
    ReplyHeadReader m_headReader;
    BodyFraming m_framing;
    ChunkDecoder m_chunks;
    std::size_t m_bodyRead = 0; // bytes of the body that were read so far; used only for BodyKind::Length
    bool m_bodyComplete = false; // the whole body has been read
};

//-----------------------------------------------------------------------------
// [SERVER]
//-----------------------------------------------------------------------------

struct FrontLimits {
    std::size_t maxHeadBytes = 16 * 1024; // largest head of a request, bytes
    std::size_t maxBodyBytes = 4 * 1024 * 1024; // largest body of a request, bytes, without chunked coding
    std::chrono::milliseconds headTimeout{3000}; // for receiving a whole head, counted from the request's first bytes
    std::chrono::milliseconds bodyTimeout{10000}; // for receiving a whole body, counted from when the head has been received
    std::chrono::milliseconds idleTimeout{15000}; // a connection without a request for this long is closed
};

class FrontConnection;
class FrontServer;

// One request that has been received whole, and its reply. As a CancellationWatch it is cancelled when the caller disconnects.
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
    // The time at which the request's first bytes were received. The time that the request had to wait for a thread lies behind it.
    TimePoint arrived() const
    {
        return m_arrived;
    }

    // reply(), beginStream(), streamBytes() and endStream() return false when the caller has disconnected or has not taken the bytes by
    // `until`. `headers` must hold no framing fields (Content-Length, Transfer-Encoding, Connection): the methods add these.
    // reply() doesn't wait: what the socket doesn't accept at once is sent by the event thread after the handler has returned, and counts as taken.
    bool reply(int status, const Headers &headers, std::string_view body, TimePoint until);
    bool replyLong(int status, const Headers &headers, std::string body, TimePoint until); // as reply(), for a body that isn't copied
    // The same for a body that may be taken slowly: the connection is closed when nothing of it is taken for `pause`, or by `until`.
    bool replySlowly(int status, const Headers &headers, std::string body, Duration pause, TimePoint until);
    // Begins a streamed reply: with chunked coding, or, for a caller with HTTP/1.0, with a body that lasts until the connection closes.
    bool beginStream(int status, const Headers &headers, std::string_view firstBytes, TimePoint until);
    bool streamBytes(std::string_view bytes, TimePoint until);
    bool endStream(TimePoint until);
    // Has the connection end, after serve() has returned, so that the caller can't take what was sent for a complete reply: without the last chunk of a
    // chunked stream, else by a reset.
    void abort();
    bool replied() const
    {
        return m_replied;
    }
    // Takes the bytes that the caller has sent since the request, as far as checkPoll() has received them; for a connection that goes on as a tunnel.
    std::string takeArrived();
    // Takes memory for what the handler holds beyond the request itself: `bytes` is all of it, and replaces the previous figure. Stalled connections
    // are closed when memory is short. False: it is short still.
    bool tryHold(std::size_t bytes);
    bool hold(std::size_t bytes, TimePoint until); // the same, but waits for memory, `until` at the latest

    void closeAfterReply() // call it before the reply begins
    {
        m_closeAfterReply = true;
    }

    bool cancelled() const override;
    void preparePoll(pollfd &entry) const override;
    void checkPoll(const pollfd &entry) override;

private:
    friend class FrontServer;
    std::string encodeHead(int status, const Headers &headers); // also decides whether the connection is closed after the reply
    bool send(MessageParts parts, TimePoint until); // waits until the caller has taken them
    // Sends what the socket accepts, and leaves the rest of the head and of the body to the event thread.
    bool sendOrLeave(std::string_view head, std::string_view body, std::string *ownedBody, TimePoint until, Duration pause = Duration::max());

    FrontServer &m_server;
    FrontConnection &m_connection;
    RequestHead m_head;
    std::string m_body;
    TimePoint m_arrived;
    bool m_replied = false;
    bool m_streaming = false;
    bool m_chunked = false;
    bool m_closeAfterReply = false;
};

// Serves the requests that a FrontServer receives.
class FrontHandler
{
public:
    virtual ~FrontHandler() = default;
    virtual void serve(FrontExchange &exchange) = 0; // must reply or abort; runs on a thread of the pool
    virtual std::string describeError(ErrorCode code) = 0; // JSON body of the reply to a request that could not be read
    virtual FrontLimits limits() = 0; // called before each request, so that changed limits apply to the next one
};

// Accepts connections. One thread, the event thread, receives requests on all connections without waiting for any of them, and posts each request that
// is complete to the pool. Neither a caller that sends slowly nor one that takes a reply slowly occupies a thread; only a stream does.
class FrontServer
{
public:
    // `name`: names this server in log lines. `address`: IP:port; port 0: any free port.
    FrontServer(std::string name, const std::string &address, FrontHandler &handler, GrowingPool &pool, const FrontCapacity &capacity = {});
    ~FrontServer();
    void beginClosing(); // from now on replies carry "Connection: close", and each connection is closed after its reply
    // Has the event thread accept the connections that wait, close the listener, and close all connections on which no request has arrived;
    // returns at once. A connection that was never used is kept a little longer, since its first request may be on its way.
    void closeIdle();
    void stop(); // ends the event thread; call it only after the pool has finished all requests of this server
    bool closing() const
    {
        return m_closing;
    }
    std::size_t activeRequests() const // requests being received or served, and replies being sent
    {
        return m_activeRequests;
    }
    std::size_t connectionCount() const;
    std::size_t heldBytes() const // memory held on behalf of callers
    {
        return m_budget.used();
    }
    FrontCounts counts() const;
    std::string address() const; // IP:port as bound

private:
    friend class FrontExchange;
    friend class FrontConnection;
    enum class Park { Idle, Receiving, Sending, Draining }; // what a connection waits for
    enum class Assembly {
        Complete, // the request must be served
        Incomplete, // more bytes are needed; the connection is still owned
        Left // the connection was parked or closed, and isn't owned any more
    };
    void runEventLoop();
    void listenFor(bool connections);
    void accept();
    // On the event thread:
    void handleEvent(int descriptor);
    void handleReadiness(int descriptor);
    void receive(FrontConnection &connection);
    void sendRest(FrontConnection &connection);
    void drain(FrontConnection &connection);
    void post(FrontConnection &connection);
    void closeExpired();
    void checkShortages();
    // On any thread that owns the connection:
    // Reads the next request from what was received. `parkIncomplete`: a request that is incomplete is left to the event thread.
    Assembly assemble(FrontConnection &connection, bool parkIncomplete);
    void serve(FrontConnection &connection);
    bool serveOne(FrontConnection &connection); // false: the connection must be closed
    void refuse(FrontConnection &connection, ErrorCode code, int status);
    void park(FrontConnection &connection, Park state);
    void leaveParked(FrontConnection &connection);
    void finishReply(FrontConnection &connection);
    void closeConnection(FrontConnection &connection);
    void beginRequest(FrontConnection &connection);
    void endRequest(FrontConnection &connection);
    void setBlocked(FrontConnection &connection, bool blocked); // while a thread waits for the caller to take a part of a stream
    bool hold(FrontConnection &connection, std::size_t bytes);
    bool evict(const EvictionNeed &need, const FrontConnection *except = nullptr); // true: something was closed

    std::string m_name;
    FrontHandler &m_handler;
    GrowingPool &m_pool;
    const FrontCapacity m_capacity;
    MemoryBudget m_budget;
    const std::unique_ptr<EvictionPolicy> m_eviction;
    Poco::Net::ServerSocket m_listener;
    int m_epoll = -1;
    Ref<WakeupSignal> m_wakeup; // wakes the event thread
    std::atomic<bool> m_closing{false};
    std::atomic<bool> m_accepting{true};
    std::atomic<bool> m_stopping{false};
    bool m_listenerClosed = false; // used by the event thread only
    bool m_acceptPaused = false; // used by the event thread only
    TimePoint m_nextCheck{}; // of timeouts; used by the event thread only
    FrontCounts m_loggedCounts; // used by the event thread only
    std::atomic<std::size_t> m_activeRequests{0};
    std::atomic<std::uint64_t> m_refusedForMemory{0};
    std::atomic<std::uint64_t> m_evicted{0};
    std::atomic<std::uint64_t> m_acceptPauses{0};
    std::atomic<std::size_t> m_blockedStreams{0};
    mutable RankedMutex m_mutex{LockRank::Connections};
    std::map<int, std::unique_ptr<FrontConnection>> m_connections; // by descriptor
    std::size_t m_parkedBytes = 0; // held by connections that wait for bytes of a request or for a reply to be taken
    std::thread m_eventThread;
};

} // namespace vanillanotch
