#include "frontend/frontend.h"

#include <ostream>

namespace vanillanotch
{

namespace
{
constexpr std::string_view PipelinesPath = "/v1/pipelines/";
constexpr const char *JsonType = "application/json";

void replyRefusal(HttpExchange &exchange, const Refusal &refusal)
{
    const int status = httpStatusOf(refusal.code);
    constexpr int Unauthorized = 401;
    if (status == Unauthorized) {
        exchange.setHeader("WWW-Authenticate", "Bearer");
    }
    exchange.reply(status, JsonType, encodeRefusalDocument(refusal));
}

Refusal unreadRefusal(const Error &error)
{
    Refusal refusal; // not_run: the request wasn't even read
    refusal.code = error.code;
    refusal.detail = error.detail;
    return refusal;
}

// The whole answer comes at the end; meanwhile the caller's socket is watched.
class QuietSink : public AnswerSink
{
public:
    explicit QuietSink(HttpExchange &exchange)
        : m_exchange(exchange)
    {
    }
    bool token(std::string_view /*text*/) override
    {
        return true;
    }
    void flush() override
    {
    }
    bool callerDisconnected() override
    {
        return m_exchange.callerDisconnected();
    }
    int callerSocket() const override
    {
        return m_exchange.socketHandle();
    }

protected:
    HttpExchange &m_exchange;
};

// Server-sent events: `token` for each token, then `answer` or `error`.
class EventSink final : public QuietSink
{
public:
    using QuietSink::QuietSink;

    bool token(std::string_view text) override
    {
        event("token", encodeTokenEvent(text));
        return !m_broken;
    }
    void flush() override
    {
        if (m_stream == nullptr || m_broken) {
            return;
        }
        m_stream->flush();
        m_broken = !m_stream->good();
    }
    void event(std::string_view name, const std::string &data)
    {
        if (m_stream == nullptr) {
            m_stream = &m_exchange.beginStream("text/event-stream");
        }
        *m_stream << "event: " << name << "\ndata: " << data << "\n\n";
    }
    bool started() const
    {
        return m_stream != nullptr;
    }

private:
    std::ostream *m_stream = nullptr;
    bool m_broken = false;
};
} // namespace

CallerHandler::CallerHandler(RequestService &service)
    : m_service(service)
{
}

std::string CallerHandler::describeError(ErrorCode code)
{
    return encodeRefusalDocument(unreadRefusal(Error{code, "the request could not be read"}));
}

void CallerHandler::handle(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (exchange.method() != "POST" || path.rfind(PipelinesPath, 0) != 0) {
        exchange.closeAfterReply(); // a body may follow that nobody reads
        return replyRefusal(exchange, unreadRefusal(Error{ErrorCode::UnknownPath, "use POST /v1/pipelines/NAME"}));
    }
    const auto body = exchange.readBody();
    if (!body) {
        return replyRefusal(exchange, unreadRefusal(body.error()));
    }
    const auto document = decodeSubmission(*body);
    if (!document) {
        return replyRefusal(exchange, unreadRefusal(document.error()));
    }
    Submission submission;
    submission.apiKey = exchange.bearerToken();
    submission.pipeline = path.substr(PipelinesPath.size());
    submission.input = document->input;
    submission.deadline = document->deadline;
    submission.idempotencyKey = exchange.header("Idempotency-Key");
    if (!document->stream) {
        QuietSink sink(exchange);
        const auto result = m_service.serve(submission, sink);
        if (!result) {
            return replyRefusal(exchange, result.error());
        }
        return exchange.reply(200, JsonType, encodeAnswerDocument(*result));
    }
    EventSink sink(exchange);
    const auto result = m_service.serve(submission, sink);
    if (!result && !sink.started()) {
        return replyRefusal(exchange, result.error());
    }
    if (result) {
        sink.event("answer", encodeAnswerDocument(*result));
    } else {
        sink.event("error", encodeRefusalDocument(result.error()));
    }
    sink.flush();
}

} // namespace vanillanotch
