// vanillanotch http library: HTTP/1.1 by POCO Net. Every wait has a time limit. vanillanotchd and the command-line tool use it;
// vanillanotch-entryd uses the transport library (transport/transport.h) instead. Requests and replies are read by the strict parsers of that library, since
// POCO's accept ambiguous and invalid heads and have no limit for a head as a whole.
//
// Index of sections:
//   [CLIENT]    HttpClient: pooled connections with time limits
//   [SERVER]    HttpServer, HttpExchange, HttpHandler
#pragma once

#include "base/base.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <list>
#include <memory>
#include <optional>
#include <ostream>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [CLIENT]
//-----------------------------------------------------------------------------

struct HttpClientSettings {
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds sendTimeout{2000}; // a call fails when the connection accepts no bytes for this long
    std::chrono::milliseconds idleTimeout{4000}; // a connection that was idle for longer isn't used again
    std::size_t idlePerAddress = 32; // most idle connections that are kept for one address; 0: each call has a connection of its own
    std::size_t maxReplyBytes = 16 * 1024 * 1024; // largest body of a reply, or line of a streamed reply, bytes
    std::size_t streamWorkers = 0; // threads that read all streamed replies; 0: the thread that makes a call reads the reply
};

struct HttpClientRequest {
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers; // further headers, by name
    Duration receiveTimeout = std::chrono::seconds(2); // longest wait for the first byte of the reply
    bool freshConnection = false; // true: use a new connection, never a pooled one
};

struct HttpReply {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
    bool freshConnection = false; // true: the reply came over a new connection
};

// Why a call has no complete reply.
struct HttpFailure {
    ErrorCode code = ErrorCode::ConnectFailed;
    bool maybeSent = false; // at least one byte of the request may have left this node
    bool reusedConnection = false; // the call used a connection from the pool, not a new one
    std::string detail; // for people
};

// Follows one call while its reply is awaited and received, and may cancel it.
class HttpReplyListener
{
public:
    virtual ~HttpReplyListener() = default;
    virtual int callerSocket() const
    {
        return -1; // descriptor of the caller's socket: the call is cancelled when the caller closes it; -1: none
    }
    virtual bool cancelled() // called from time to time while the call waits for bytes; true cancels the call
    {
        return false;
    }
    // Called when the reply's status and headers have come; its body is still empty. False cancels the call.
    virtual bool onHead(const HttpReply & /*head*/)
    {
        return true;
    }
    // Called for each line of a streamed reply (text/event-stream), without its line end. Empty lines are left out. False cancels
    // the call.
    virtual bool onLine(std::string_view /*text*/)
    {
        return true;
    }
    // Called when all lines read so far have been passed on, so that buffered output can be flushed.
    virtual void flush()
    {
    }
    // Number of useful parts of the reply that onLine() has got so far. While it doesn't grow, the stream counts as silent, although
    // bytes may come. nullopt: any byte counts.
    virtual std::optional<std::size_t> delivered() const
    {
        return std::nullopt;
    }
};

class Connection;
class StreamReaderPool;

// Makes calls and keeps idle connections for further calls. Thread-safe.
class HttpClient
{
public:
    explicit HttpClient(HttpClientSettings settings = {});
    ~HttpClient();
    // `address`: IP:port. `deadline` limits the whole call, `gapTimeout` each wait for further bytes of the reply's body (for a streamed reply
    // see HttpReplyListener::delivered()). `listener` may be nullptr. Errors: ConnectFailed, ConnectionLost, ServerTimeout (a wait took too long),
    // DeadlineExceeded, InvalidReply (the head isn't valid; the reply, or a line of a streamed one, is longer than maxReplyBytes; or the chunked coding is
    // invalid), CallerDisconnected (the caller disconnected, or the listener cancelled the call).
    tl::expected<HttpReply, HttpFailure> call(const std::string &address, const HttpClientRequest &request, TimePoint deadline,
                                              Duration gapTimeout = std::chrono::seconds(2), HttpReplyListener *listener = nullptr);
    // Closes the idle connections to the address. Call it after a connection to the address has failed or stalled, as the idle ones may be dead as well.
    void closeIdle(const std::string &address);
    void closeExpired(); // closes connections that were idle longer than idleTimeout; call it regularly

private:
    friend class HttpCall;
    struct Idle {
        std::unique_ptr<Connection> connection;
        TimePoint since;
    };
    std::unique_ptr<Connection> takeIdle(const std::string &address);
    void returnIdle(const std::string &address, std::unique_ptr<Connection> connection);

    HttpClientSettings m_settings;
    std::unique_ptr<StreamReaderPool> m_streamReaders;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, std::list<Idle>> m_idle; // by address; the newest first
};

//-----------------------------------------------------------------------------
// [SERVER]
//-----------------------------------------------------------------------------

struct HttpServerSettings {
    std::string name; // for logs: "callers" or "operators"
    std::string address = "127.0.0.1:0"; // IP:port; port 0: any free port
    int connections = 512; // most connections served at the same time, each by one thread
    int queuedConnections = 256; // most connections that wait for a thread; further ones wait in the system's queue
    std::size_t maxHeadBytes = 64 * 1024; // largest head of a request, bytes
    std::size_t maxFieldBytes = 8 * 1024; // largest value of a header field, bytes
    std::size_t maxFields = 100; // most header fields of a request
    std::size_t maxBodyBytes = 1024 * 1024; // largest body of a request, bytes
    // Bytes that all connections together may hold: heads and bodies being received, running requests, and replies that wait to be read. While they are in
    // use, connections without progress are closed and then new requests are refused. 0: not limited.
    std::size_t memoryBytes = 0;
    unsigned runningFactor = 0; // memory reserved for a request while it runs, as a multiple of its body's length; readBody() reserves it
    std::chrono::milliseconds readTimeout{10000}; // for receiving a whole request
    std::chrono::milliseconds sendTimeout{10000}; // a connection that accepts no bytes of a reply for this long is closed
    std::chrono::milliseconds idleTimeout{15000}; // a connection without a request for this long is closed
};

// What an HttpServer uses now, and what it has counted since its start.
struct HttpServerUsage {
    std::size_t connections = 0; // accepted connections
    std::size_t requests = 0; // requests being received or served
    std::size_t memoryBytes = 0; // see HttpServerSettings::memoryBytes
    std::uint64_t releasedBytes = 0; // sum of all such memory that was given back
    std::uint64_t closedForOthers = 0; // connections without progress that were closed because others needed their places or their memory
    std::uint64_t memoryRefusals = 0; // requests for which there was no memory
};

class ServedConnection;
class ConnectionTable;
class RequestReader;
class ReplyBuffer;
struct RequestHead;
struct BodyFraming;

// One request and its reply.
class HttpExchange
{
public:
    HttpExchange(const HttpServerSettings &settings, ServedConnection &connection, RequestReader &reader, const RequestHead &head, const BodyFraming &framing,
                 TimePoint readUntil);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const;
    const std::string &path() const // without the query
    {
        return m_path;
    }
    std::string query(const std::string &name) const; // empty: absent
    std::string header(const std::string &name) const; // empty: absent
    std::string bearerToken() const; // from the header Authorization, without "Bearer"; empty: absent
    Result<std::string> readBody(); // errors: BodyTooLarge, ReadTimeout, MalformedRequest, Overloaded
    void reply(int status, const std::string &contentType, const std::string &body);
    void setHeader(const std::string &name, const std::string &value); // call it before reply() or beginStream()
    std::ostream &beginStream(const std::string &contentType); // begins a chunked reply with status 200; its body is what is written to the stream returned
    bool replied() const;
    int callerSocket() const; // descriptor of the caller's connection
    bool callerDisconnected() const; // true: the caller closed its sending side and no received bytes are left unread
    void closeAfterReply(); // closes the connection after the reply; call it before the reply begins
    void holdAnswer(std::size_t bytes); // counts memory that an answer takes until the exchange ends, see HttpServerSettings::memoryBytes

private:
    friend class ServerConnection;
    std::string encodeHead(int status, std::optional<std::size_t> length); // without length: chunked, or until the connection ends
    bool send(std::string_view bytes, bool moreFollow);
    void finish(); // ends a streamed reply
    void abort(); // ends the connection, so that the caller can't take what was sent for a complete reply

    const HttpServerSettings &m_settings;
    ServedConnection &m_connection;
    RequestReader &m_reader;
    const RequestHead &m_head;
    const BodyFraming &m_framing;
    TimePoint m_readUntil;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_replyHeaders;
    std::size_t m_reserved = 0; // bytes, for the body that readBody() has returned and the request that runs
    bool m_bodyRead = false;
    bool m_replied = false;
    bool m_keepAlive = true;
    bool m_sendFailed = false;
    std::unique_ptr<ReplyBuffer> m_buffer; // of a streamed reply
    std::unique_ptr<std::ostream> m_stream;

    friend class ReplyBuffer;
};

// Serves the requests that an HttpServer receives.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpExchange &exchange) = 0; // must reply; runs on a thread of the server
    // JSON body of the reply to a request that could not be read. `code`: MalformedRequest, HeaderTooLarge, ReadTimeout or Overloaded.
    virtual std::string describeError(ErrorCode code) = 0;
};

class HttpServer
{
public:
    HttpServer(HttpServerSettings settings, HttpHandler &handler);
    ~HttpServer();
    std::string address() const; // IP:port as bound
    std::uint16_t port() const;
    void beginClosing(); // from now on replies carry "Connection: close"; new connections are still accepted
    // Accepts no more connections, shuts idle connections down for reading so that they end, and waits at most `timeout` for the running requests.
    void stop(Duration timeout);
    int activeRequests() const; // requests being received or served
    HttpServerUsage usage() const;
    std::function<HttpServerUsage()> usageReader() const; // returns usage(); may be called also after the server was destroyed

private:
    friend class ServerConnection;
    friend class ServerConnectionFactory;

    HttpServerSettings m_settings;
    HttpHandler &m_handler;
    std::atomic<bool> m_closing{false};
    Ref<ConnectionTable> m_table;
    std::unique_ptr<Poco::ThreadPool> m_pool;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace vanillanotch
