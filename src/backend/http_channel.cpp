// The channel for stage calls to backend servers.
#include "backend/backend.h"
#include "wire/wire.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdlib>

namespace vanillanotch
{

namespace
{
constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
// A server that doesn't reset or close a new connection within this time counts as accepting connections.
constexpr std::chrono::milliseconds ConnectionResetWait{20};

// Returns the value of a header; empty when the header is absent. `name`: in lower case.
std::string headerOf(const HttpReply &reply, const std::string &name)
{
    const auto found = reply.headers.find(name);
    return found == reply.headers.end() ? std::string() : found->second;
}

// Returns the number that the text begins with. nullopt: the text doesn't begin with a number, or the number is below 0, or 1e12 or more.
std::optional<double> parseNumber(const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool valid = end != text.c_str() && value >= 0 && value < 1e12;
    return valid ? std::optional<double>(value) : std::nullopt;
}

std::optional<Duration> serviceTimeOf(const HttpReply &reply)
{
    const auto microseconds = parseNumber(headerOf(reply, "x-service-time-us"));
    if (!microseconds) {
        return std::nullopt;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(*microseconds));
}

// Passes tokens to the listener as the engine sends them, and checks that they belong to this attempt.
class TokenReader final : public HttpReplyListener
{
public:
    TokenReader(const StageCall &call, StageListener &listener)
        : m_call(call)
        , m_listener(listener)
    {
    }
    int callerSocket() const override
    {
        return m_listener.callerSocket();
    }
    bool cancelled() override
    {
        return m_listener.cancelled();
    }
    void flush() override
    {
        m_listener.flush();
    }
    bool onHead(const HttpReply &head) override
    {
        m_accepted = head.status == StatusOk;
        const bool ownReply = headerOf(head, "x-request-id") == m_call.attempt;
        if (!ownReply) {
            m_errorCode = ErrorCode::AttemptMismatch;
        }
        return ownReply;
    }
    bool onLine(std::string_view text) override
    {
        if (!m_accepted) {
            return true; // the text of an error, sent as a stream
        }
        auto event = decodeTokenLine(text);
        if (!event) {
            m_errorCode = event.error().code;
            return false;
        }
        if (!event->has_value()) {
            return true;
        }
        const TokenEvent &token = **event;
        if (token.done) {
            m_done = true;
            return true;
        }
        if (m_done || (!token.id.empty() && token.id != m_call.attempt)) {
            m_errorCode = ErrorCode::AttemptMismatch;
            return false;
        }
        ++m_tokens;
        m_callerDisconnected = !m_listener.token(token.text);
        return !m_callerDisconnected;
    }
    std::optional<std::size_t> delivered() const override
    {
        return m_tokens;
    }
    std::optional<ErrorCode> errorCode() const
    {
        return m_errorCode;
    }
    bool done() const
    {
        return m_done;
    }

private:
    const StageCall &m_call;
    StageListener &m_listener;
    std::size_t m_tokens = 0;
    bool m_accepted = false; // the reply is a success
    bool m_done = false; // the engine has sent the end mark "[DONE]": the text is complete
    bool m_callerDisconnected = false;
    // Why this reader cancelled the call; nullopt: the reader has not cancelled it, or did so because the caller disconnected.
    std::optional<ErrorCode> m_errorCode;
};

class HttpBackendChannel final : public BackendChannel
{
public:
    HttpBackendChannel(HttpClientSettings settings, MetricsRegistry &metrics)
        : m_connectTimeout(settings.connectTimeout)
        , m_client(settings)
        , m_mismatches(metrics.counter("vanillanotch_replies_dropped_total"))
    {
    }

    tl::expected<StageReply, CallFailure> call(const StageCall &call, StageListener &listener) override
    {
        TokenReader reader(call, listener);
        const auto reply = m_client.call(call.address, requestFor(call), call.deadline, call.tokenTimeout, &reader);
        if (!reply) {
            return tl::unexpected(failureOf(reply.error(), reader));
        }
        if (reply->status != StatusOk) {
            return tl::unexpected(rejection(*reply));
        }
        StageReply result;
        result.load = parseNumber(headerOf(*reply, "x-load"));
        result.leaving = headerOf(*reply, "x-server-state") == "leaving";
        result.serviceTime = serviceTimeOf(*reply);
        if (call.stage->kind == StageKind::Generation) {
            if (!reader.done()) {
                return tl::unexpected(failure(ErrorCode::ConnectionLost, true, "the stream ended before the text did", *reply));
            }
            result.data = *call.data;
            return result;
        }
        auto data = decodeStageReply(call, reply->body);
        if (!data) {
            return tl::unexpected(failure(data.error().code, true, data.error().detail, *reply));
        }
        result.data = std::move(*data);
        return result;
    }

    bool acceptsConnections(const std::string &address) override
    {
        assertNoLockHeld("a connection is opened while a lock is held");
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(m_connectTimeout.count() * 1000));
            // A process that is being terminated may still accept the connection, but resets it at once. The reset makes the socket readable, so
            // a socket that becomes readable within ConnectionResetWait counts as not accepted.
            return !socket.poll(Poco::Timespan(0, ConnectionResetWait.count() * 1000), Poco::Net::Socket::SELECT_READ);
        } catch (const Poco::Net::ConnectionRefusedException &) {
            return false;
        } catch (const Poco::Exception &) {
            return true; // a timeout doesn't prove that nothing listens at the address
        }
    }

    void discardIdleConnections(const std::string &address) override
    {
        m_client.closeIdle(address);
    }

    void closeExpiredConnections() override
    {
        m_client.closeExpired();
    }

private:
    static HttpClientRequest requestFor(const StageCall &call)
    {
        const Duration timeLeft = call.deadline - std::chrono::steady_clock::now();
        HttpClientRequest request;
        request.path = stagePath(*call.stage);
        request.body = encodeStageBody(call);
        request.headers["X-Request-Id"] = call.attempt;
        request.headers["X-Pipeline-Request"] = call.request;
        request.headers["X-Deadline-Ms"] = std::to_string(toMilliseconds(timeLeft).count());
        if (!call.idempotencyKey.empty()) {
            request.headers["Idempotency-Key"] = call.idempotencyKey;
        }
        request.receiveTimeout = call.firstByteTimeout;
        request.freshConnection = call.freshConnection;
        return request;
    }

    static CallFailure failure(ErrorCode code, bool maybeSent, std::string detail, const HttpReply &reply)
    {
        CallFailure failure;
        failure.code = code;
        failure.maybeSent = maybeSent;
        failure.detail = std::move(detail);
        failure.load = parseNumber(headerOf(reply, "x-load"));
        failure.leaving = headerOf(reply, "x-server-state") == "leaving";
        return failure;
    }

    CallFailure failureOf(const HttpFailure &transport, const TokenReader &reader)
    {
        CallFailure failure;
        failure.code = reader.errorCode().value_or(transport.code);
        failure.maybeSent = transport.maybeSent;
        failure.reusedConnection = transport.reusedConnection;
        failure.detail = transport.detail;
        if (failure.code == ErrorCode::AttemptMismatch) {
            m_mismatches.add();
            failure.detail = "the reply names another attempt";
        }
        return failure;
    }

    static CallFailure rejection(const HttpReply &reply)
    {
        // By 429 or 503 the server says that it has not executed the call, so the call counts as not sent. The reply is the server's
        // own: TokenReader::onHead() has checked that it names the attempt.
        const bool busy = reply.status == StatusTooManyRequests || reply.status == StatusUnavailable;
        const ErrorCode code = busy ? ErrorCode::ServerBusy : ErrorCode::ServerRejected;
        CallFailure result = failure(code, !busy, "status " + std::to_string(reply.status), reply);
        result.requestInvalid = !busy && reply.status < 500;
        return result;
    }

    std::chrono::milliseconds m_connectTimeout;
    HttpClient m_client;
    Counter &m_mismatches; // replies discarded because they name another attempt
};
} // namespace

std::unique_ptr<BackendChannel> makeHttpBackendChannel(HttpClientSettings settings, MetricsRegistry &metrics)
{
    return std::make_unique<HttpBackendChannel>(settings, metrics);
}

} // namespace vanillanotch
