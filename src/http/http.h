// vanillanotch http library: HTTP/1.1 by POCO Net, with bounds on every wait.
//
// Index of sections:
//   [WATCHDOG]  SocketWatchdog: shuts down connections whose peer is too slow
//   [CLIENT]    HttpClient: pooled connections with time limits
//   [SERVER]    HttpServer, HttpExchange, HttpHandler
#pragma once

#include "base/base.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <list>
#include <memory>
#include <optional>
#include <set>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [WATCHDOG]
//-----------------------------------------------------------------------------

// Bounds the whole time of reading a request, however slowly its bytes come in.
class SocketWatchdog
{
public:
    explicit SocketWatchdog(TimerQueue &timers);
    std::uint64_t arm(const Poco::Net::StreamSocket &socket, Duration limit); // returns a token for disarm
    bool disarm(std::uint64_t token); // false: the limit had passed and the socket was shut down

private:
    void check(std::uint64_t token);

    TimerQueue &m_timers;
    RankedMutex m_mutex{LockRank::Connections};
    std::uint64_t m_lastToken = 0;
    std::map<std::uint64_t, Poco::Net::StreamSocket> m_armed;
};

//-----------------------------------------------------------------------------
// [CLIENT]
//-----------------------------------------------------------------------------

struct HttpClientSettings {
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds sendTimeout{2000};
    std::chrono::milliseconds idleTimeout{4000}; // an idle connection older than this isn't used again
    std::size_t idlePerAddress = 32; // connections
    std::size_t replyLimit = 16 * 1024 * 1024; // bytes
    std::size_t streamWorkers = 0; // threads that read all streamed replies; 0: each call's own thread does
};

struct HttpClientRequest {
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    Duration receiveTimeout = std::chrono::seconds(2); // until the first byte of the reply
    bool freshConnection = false; // true: never a pooled connection
};

struct HttpReply {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
    bool freshConnection = false;
};

// Why a call has no reply.
struct HttpFailure {
    ErrorCode code = ErrorCode::ConnectFailed;
    bool sent = false; // at least one byte may have left
    bool pooled = false; // happened on a reused connection
    std::string detail;
};

// Asked while a reply is awaited.
class HttpReplyListener
{
public:
    virtual ~HttpReplyListener() = default;
    virtual int callerSocket() const
    {
        return -1; // a descriptor whose closing cancels the call; -1: none
    }
    virtual bool cancelled()
    {
        return false;
    }
    // The reply's status and headers are here; its body is still empty. False cancels the call.
    virtual bool onHead(const HttpReply & /*head*/)
    {
        return true;
    }
    // One line of a streamed reply (text/event-stream), without its end. Empty lines are left out.
    // False cancels the stream.
    virtual bool onLine(std::string_view /*text*/)
    {
        return true;
    }
    // Called when all lines read so far have been passed: a good moment to flush.
    virtual void flush()
    {
    }
};

class HttpConnection;
class StreamReaderPool;

class HttpClient
{
public:
    explicit HttpClient(HttpClientSettings settings = {});
    ~HttpClient();
    // address: IP:port. `deadline` bounds the whole call; `gap` bounds the wait between two parts of a streamed reply.
    tl::expected<HttpReply, HttpFailure> call(const std::string &address, const HttpClientRequest &request, TimePoint deadline,
                                              Duration gap = std::chrono::seconds(2), HttpReplyListener *waiter = nullptr);
    void closeIdle(const std::string &address); // after a stall: other idle connections may be silent as well
    void closeExpired(); // closes connections idle for too long; call now and then

private:
    friend class HttpCall;
    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        TimePoint since;
    };
    std::unique_ptr<HttpConnection> takeIdle(const std::string &address);
    void giveBack(const std::string &address, std::unique_ptr<HttpConnection> connection);

    HttpClientSettings m_settings;
    std::unique_ptr<StreamReaderPool> m_pump;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, std::list<Idle>> m_idle; // newest first
};

//-----------------------------------------------------------------------------
// [SERVER]
//-----------------------------------------------------------------------------

struct HttpServerSettings {
    std::string name; // for logs: "callers" or "operators"
    std::string address = "127.0.0.1:0"; // port 0: the system picks one
    int connections = 512; // served at the same time, each by one worker
    int queuedConnections = 256; // waiting for a worker; more are closed
    std::size_t bodyLimit = 1024 * 1024; // bytes
    std::chrono::milliseconds readTimeout{10000}; // for a whole request
    std::chrono::milliseconds idleTimeout{15000}; // keep-alive without a request
};

// One request and its answer.
class HttpExchange
{
public:
    // onRead is called once the whole request has been read.
    HttpExchange(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response, std::size_t bodyLimit, std::function<void()> onRead);
    const std::string &method() const;
    const std::string &path() const // without the query
    {
        return m_path;
    }
    std::string query(const std::string &name) const; // empty: absent
    std::string header(const std::string &name) const; // empty: absent
    std::string bearerToken() const; // from Authorization; empty: absent
    Result<std::string> readBody(); // BodyTooLarge, ReadTimeout
    void reply(int status, const std::string &contentType, const std::string &body);
    void setHeader(const std::string &name, const std::string &value); // before reply or beginStream
    std::ostream &beginStream(const std::string &contentType); // status 200, chunked
    bool replied() const;
    int socketHandle() const;
    bool callerDisconnected() const; // the caller closed its side
    void closeAfterReply();

private:
    Poco::Net::HTTPServerRequestImpl &m_request;
    Poco::Net::HTTPServerResponseImpl &m_response;
    std::size_t m_bodyLimit;
    std::function<void()> m_onRead;
    std::string m_path;
    std::map<std::string, std::string> m_query;
};

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpExchange &exchange) = 0; // must reply; runs on a worker of the server
    // The request could not be read. `code`: MalformedRequest, HeaderTooLarge or ReadTimeout.
    virtual std::string describeError(ErrorCode code) = 0; // JSON body of the answer
};

class HttpServer
{
public:
    HttpServer(HttpServerSettings settings, HttpHandler &handler, SocketWatchdog &watchdog);
    ~HttpServer();
    std::string address() const; // IP:port as bound
    std::uint16_t port() const;
    void beginClosing(); // answers carry "Connection: close"; new connections are still taken
    void stop(Duration limit); // takes no connection, waits for the running requests
    int activeRequests() const;

private:
    friend class ServerConnection;
    friend class ServerConnectionFactory;

    HttpServerSettings m_settings;
    HttpHandler &m_handler;
    SocketWatchdog &m_watchdog;
    void addIdle(const Poco::Net::StreamSocket &socket);
    void removeIdle(const Poco::Net::StreamSocket &socket);
    void closeIdle();

    std::atomic<bool> m_closing{false};
    std::atomic<int> m_active{0};
    RankedMutex m_mutex{LockRank::Connections};
    std::condition_variable_any m_idle;
    std::set<Poco::Net::StreamSocket> m_idleSockets; // keep-alive connections between two requests
    std::unique_ptr<Poco::ThreadPool> m_pool;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace vanillanotch
