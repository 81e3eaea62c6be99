// The handler of callers' requests.
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

Refusal notRunRefusal(const Error &error)
{
    Refusal refusal; // Refusal::outcome keeps its default not_run, because the request wasn't passed to the service
    refusal.code = error.code;
    refusal.detail = error.detail;
    return refusal;
}

// The body is freed as soon as it is decoded, since a request may run for long.
Result<SubmissionDocument> readSubmission(HttpExchange &exchange)
{
    const auto body = exchange.readBody();
    return body ? decodeSubmission(*body) : tl::unexpected(body.error());
}

// Sink for an answer that is sent as a whole at the end, so it ignores the tokens. While the request runs, the service watches the caller's
// socket through the sink and notices when the caller disconnects.
class WholeAnswerSink : public AnswerSink
{
public:
    explicit WholeAnswerSink(HttpExchange &exchange)
        : m_exchange(exchange)
    {
    }
    bool token(std::string_view text) override
    {
        // The service collects the text, which becomes a part of the answer's document: so it is held twice. It is counted in steps, since tokens are small.
        m_uncounted += text.size() * 2;
        if (m_uncounted >= CountedStep) {
            m_exchange.holdAnswer(std::exchange(m_uncounted, 0));
        }
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
        return m_exchange.callerSocket();
    }

protected:
    HttpExchange &m_exchange;

private:
    static constexpr std::size_t CountedStep = 16 * 1024; // bytes
    std::size_t m_uncounted = 0; // bytes of the answer that were not counted yet
};

// Sink for a streamed answer: it sends a server-sent event `token` for each token. CallerHandler ends the stream with an event
// `answer` or `error`.
class EventStreamSink final : public WholeAnswerSink
{
public:
    using WholeAnswerSink::WholeAnswerSink;

    bool token(std::string_view text) override
    {
        (void)WholeAnswerSink::token(text);
        sendEvent("token", encodeTokenEvent(text));
        return !m_writeFailed;
    }
    void flush() override
    {
        if (m_stream == nullptr || m_writeFailed) {
            return;
        }
        m_stream->flush();
        m_writeFailed = !m_stream->good();
    }
    void sendEvent(std::string_view name, const std::string &data)
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
    std::ostream *m_stream = nullptr; // nullptr: no event was sent so far
    bool m_writeFailed = false; // a write to the caller has failed
};
} // namespace

CallerHandler::CallerHandler(RequestService &service)
    : m_service(service)
{
}

std::string CallerHandler::describeError(ErrorCode code)
{
    return encodeRefusalDocument(notRunRefusal(Error{code, "the request could not be read"}));
}

void CallerHandler::handle(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (exchange.method() != "POST" || path.rfind(PipelinesPath, 0) != 0) {
        exchange.closeAfterReply(); // the request may have a body, which stays unread
        return replyRefusal(exchange, notRunRefusal(Error{ErrorCode::UnknownPath, "use POST /v1/pipelines/NAME"}));
    }
    auto document = readSubmission(exchange);
    if (!document) {
        return replyRefusal(exchange, notRunRefusal(document.error()));
    }
    Submission submission;
    submission.apiKey = exchange.bearerToken();
    submission.pipeline = path.substr(PipelinesPath.size());
    submission.input = std::move(document->input);
    submission.deadline = document->deadline;
    submission.idempotencyKey = exchange.header("Idempotency-Key");
    if (!document->stream) {
        WholeAnswerSink sink(exchange);
        const auto result = m_service.serve(submission, sink);
        if (!result) {
            return replyRefusal(exchange, result.error());
        }
        return exchange.reply(200, JsonType, encodeAnswerDocument(*result));
    }
    EventStreamSink sink(exchange);
    const auto result = m_service.serve(submission, sink);
    if (!result && !sink.started()) {
        return replyRefusal(exchange, result.error());
    }
    if (result) {
        sink.sendEvent("answer", encodeAnswerDocument(*result));
    } else {
        sink.sendEvent("error", encodeRefusalDocument(result.error()));
    }
    sink.flush();
}

} // namespace vanillanotch
