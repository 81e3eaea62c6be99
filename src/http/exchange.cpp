#include "http/exchange.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timestamp.h>
#include <Poco/URI.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

namespace vanillanotch
{

namespace
{
constexpr std::size_t ReceiveBytes = 16 * 1024; // most bytes received at once
// Bytes of chunked coding that are decoded at once: the decoder moves the rest of its input for each chunk, so with one-byte chunks and all received
// bytes at once the time would grow with the square of their number.
constexpr std::size_t DecodedAtOnce = 512;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t JoinedBytes = 16 * 1024; // bodies up to this length are sent together with the head
constexpr std::size_t ReplyFactor = 2; // an unread answer is held as the document that is being sent and as the data it was made of

// True when a line feed at or after `from` has no carriage return before it.
bool hasBareLineFeed(std::string_view bytes, std::size_t from)
{
    for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        if (at == 0 || bytes[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

Error tooLong(std::size_t limit)
{
    return Error{ErrorCode::BodyTooLarge, "the body is longer than " + std::to_string(limit) + " bytes"};
}
} // namespace

//-----------------------------------------------------------------------------
// RequestReader
//-----------------------------------------------------------------------------

RequestReader::RequestReader(ServedConnection &connection)
    : m_connection(connection)
    , m_received(connection)
{
}

bool RequestReader::awaitRequest(TimePoint until)
{
    m_connection.beginWaits();
    return !m_received.bytes().empty() || m_connection.wait(PeerWait::Request, POLLIN, until) == WaitResult::Ready;
}

Result<void> RequestReader::receive(TimePoint until)
{
    for (;;) {
        switch (m_connection.wait(PeerWait::Rest, POLLIN, until)) {
        case WaitResult::TimedOut:
            return fail(ErrorCode::ReadTimeout, "the request came too slowly");
        case WaitResult::Closed:
            return fail(ErrorCode::Overloaded, "the request stood still while this node was short of memory or connections");
        case WaitResult::Ready:
            break;
        }
        std::array<char, ReceiveBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
        const ssize_t count = ::recv(m_connection.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            const auto size = static_cast<std::size_t>(count);
            m_connection.addProgress(size);
            if (auto grown = m_received.grow(m_received.bytes().size() + size); !grown) {
                return grown;
            }
            m_received.bytes().append(buffer.data(), size);
            return {};
        }
        if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
            return fail(ErrorCode::CallerDisconnected, "the connection ended within a request");
        }
    }
}

Result<std::string> RequestReader::readHead(std::size_t limit, TimePoint until)
{
    m_connection.beginWaits();
    std::size_t searched = 0; // bytes that don't begin the head's end
    for (;;) {
        std::string &bytes = m_received.bytes();
        const std::size_t end = bytes.find(HeadEnd, searched);
        if (end != std::string::npos && end + HeadEnd.size() <= limit) {
            std::string head = bytes.substr(0, end + HeadEnd.size());
            bytes.erase(0, head.size());
            return head;
        }
        if (end != std::string::npos || bytes.size() >= limit) {
            return fail(ErrorCode::HeaderTooLarge, "the head is longer than " + std::to_string(limit) + " bytes");
        }
        if (hasBareLineFeed(std::string_view(bytes).substr(0, end), searched)) {
            return fail(ErrorCode::MalformedRequest, "expected CR LF at the end of a header line; it ends with a bare LF");
        }
        searched = bytes.size() - std::min(bytes.size(), HeadEnd.size() - 1);
        if (const auto received = receive(until); !received) {
            return tl::unexpected(received.error());
        }
    }
}

Result<void> RequestReader::readBody(const BodyFraming &framing, std::size_t limit, TimePoint until, ReservedBuffer &out)
{
    m_connection.beginWaits();
    auto read = framing.kind == BodyKind::Chunked ? readChunks(limit, until, out)
        : framing.length > limit                  ? tl::unexpected(tooLong(limit))
                                                  : readLength(framing.length, until, out);
    if (!read && read.error().code == ErrorCode::CallerDisconnected) {
        return fail(ErrorCode::ReadTimeout, "the body ended early");
    }
    return read;
}

Result<void> RequestReader::readLength(std::size_t length, TimePoint until, ReservedBuffer &out)
{
    std::string &received = m_received.bytes();
    for (;;) {
        const std::size_t taken = std::min(received.size(), length - out.bytes().size());
        if (auto grown = out.grow(out.bytes().size() + taken); !grown) {
            return grown;
        }
        out.bytes().append(received, 0, taken);
        received.erase(0, taken);
        if (out.bytes().size() == length) {
            return {};
        }
        if (auto more = receive(until); !more) {
            return more;
        }
    }
}

Result<void> RequestReader::readChunks(std::size_t limit, TimePoint until, ReservedBuffer &out)
{
    ChunkDecoder decoder;
    std::string input; // bytes that the decoder has not consumed yet; it limits the length of a line
    std::string &received = m_received.bytes();
    for (;;) {
        std::size_t offset = 0;
        while (offset < received.size() && !decoder.complete()) {
            const std::size_t count = std::min(DecodedAtOnce, received.size() - offset);
            input.append(received, offset, count);
            offset += count;
            if (auto grown = out.grow(out.bytes().size() + input.size()); !grown) {
                return grown;
            }
            if (auto decoded = decoder.feed(input, out.bytes()); !decoded) {
                return decoded;
            }
            if (out.bytes().size() > limit) {
                return tl::unexpected(tooLong(limit));
            }
        }
        received.erase(0, offset);
        if (decoder.complete()) {
            received.insert(0, input); // the beginning of the next request
            return {};
        }
        if (auto more = receive(until); !more) {
            return more;
        }
    }
}

void RequestReader::endRequest()
{
    if (m_received.bytes().empty()) {
        m_received.reset();
    }
}

//-----------------------------------------------------------------------------
// ReplyBuffer
//-----------------------------------------------------------------------------

ReplyBuffer::ReplyBuffer(HttpExchange &exchange, bool chunked)
    : m_exchange(exchange)
    , m_chunked(chunked)
{
    setp(m_data.data(), m_data.data() + m_data.size());
}

bool ReplyBuffer::sendChunk(std::string_view data)
{
    if (data.empty()) {
        return true;
    }
    if (!m_chunked) {
        return m_exchange.send(data, false);
    }
    if (data.size() <= JoinedBytes) {
        std::string chunk;
        chunk.reserve(data.size() + 16);
        appendChunk(chunk, data);
        return m_exchange.send(chunk, false);
    }
    std::ostringstream size;
    size << std::hex << data.size() << "\r\n";
    return m_exchange.send(size.str(), true) && m_exchange.send(data, true) && m_exchange.send("\r\n", false);
}

ReplyBuffer::int_type ReplyBuffer::overflow(int_type character)
{
    if (sync() != 0) {
        return traits_type::eof();
    }
    if (!traits_type::eq_int_type(character, traits_type::eof())) {
        *pptr() = traits_type::to_char_type(character);
        pbump(1);
    }
    return traits_type::not_eof(character);
}

std::streamsize ReplyBuffer::xsputn(const char *bytes, std::streamsize count)
{
    const auto size = static_cast<std::size_t>(count);
    if (size > static_cast<std::size_t>(epptr() - pptr()) && sync() != 0) {
        return 0;
    }
    if (size > m_data.size()) {
        return sendChunk(std::string_view(bytes, size)) ? count : 0;
    }
    std::copy_n(bytes, size, pptr());
    pbump(static_cast<int>(size));
    return count;
}

int ReplyBuffer::sync()
{
    const bool sent = sendChunk(std::string_view(pbase(), static_cast<std::size_t>(pptr() - pbase())));
    setp(m_data.data(), m_data.data() + m_data.size());
    return sent ? 0 : -1;
}

//-----------------------------------------------------------------------------
// HttpExchange
//-----------------------------------------------------------------------------

HttpExchange::HttpExchange(const HttpServerSettings &settings, ServedConnection &connection, RequestReader &reader, const RequestHead &head,
                           const BodyFraming &framing, TimePoint readUntil)
    : m_settings(settings)
    , m_connection(connection)
    , m_reader(reader)
    , m_head(head)
    , m_framing(framing)
    , m_readUntil(readUntil)
{
    const Headers &headers = head.headers;
    m_keepAlive = head.minorVersion == 1 ? !headers.listContains("Connection", "close") : headers.listContains("Connection", "keep-alive");
    try {
        const Poco::URI uri(head.target);
        m_path = uri.getPath();
        for (const auto &[name, value] : uri.getQueryParameters()) {
            m_query[name] = value;
        }
    } catch (const Poco::Exception &) {
        m_path.clear(); // the request's target is invalid: the handler treats the empty path as an unknown one
    }
}

HttpExchange::~HttpExchange()
{
    m_connection.release(m_reserved);
}

const std::string &HttpExchange::method() const
{
    return m_head.method;
}

std::string HttpExchange::query(const std::string &name) const
{
    const auto found = m_query.find(name);
    return found == m_query.end() ? std::string() : found->second;
}

std::string HttpExchange::header(const std::string &name) const
{
    const std::string *value = m_head.headers.find(name);
    return value == nullptr ? std::string() : *value;
}

std::string HttpExchange::bearerToken() const
{
    const std::string value = header("Authorization");
    const std::string_view scheme = "Bearer ";
    return value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string();
}

Result<std::string> HttpExchange::readBody()
{
    ReservedBuffer body(m_connection);
    auto read = m_reader.readBody(m_framing, m_settings.maxBodyBytes, m_readUntil, body);
    const std::size_t held = body.bytes().capacity() + body.bytes().size() * m_settings.runningFactor;
    if (read) {
        read = m_connection.reserve(held);
    }
    if (!read) {
        closeAfterReply();
        return tl::unexpected(read.error());
    }
    m_reserved += held;
    m_bodyRead = true;
    return std::move(body.bytes());
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    m_replyHeaders[name] = value;
}

std::string HttpExchange::encodeHead(int status, std::optional<std::size_t> length)
{
    m_replied = true;
    const bool bodyLeft = m_framing.kind != BodyKind::None && !m_bodyRead; // what follows can't be told from it
    m_keepAlive = m_keepAlive && !bodyLeft && !m_connection.closedForOthers() && (length || m_head.minorVersion == 1);
    Poco::Net::HTTPResponse response(Poco::Net::HTTPMessage::HTTP_1_1, static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setDate(Poco::Timestamp());
    response.setKeepAlive(m_keepAlive);
    for (const auto &[name, value] : m_replyHeaders) {
        response.set(name, value);
    }
    if (length) {
        response.setContentLength64(static_cast<Poco::Int64>(*length));
    } else if (m_head.minorVersion == 1) {
        response.setChunkedTransferEncoding(true);
    }
    std::ostringstream out;
    response.write(out);
    return out.str();
}

void HttpExchange::reply(int status, const std::string &contentType, const std::string &body)
{
    setHeader("Content-Type", contentType);
    std::string head = encodeHead(status, body.size());
    const std::string_view shown = m_head.method == "HEAD" ? std::string_view() : std::string_view(body);
    if (shown.size() <= JoinedBytes) {
        head += shown;
        (void)send(head, false);
        return;
    }
    (void)(send(head, true) && send(shown, false));
}

std::ostream &HttpExchange::beginStream(const std::string &contentType)
{
    setHeader("Content-Type", contentType);
    m_buffer = std::make_unique<ReplyBuffer>(*this, m_head.minorVersion == 1);
    m_stream = std::make_unique<std::ostream>(m_buffer.get());
    if (!send(encodeHead(Poco::Net::HTTPResponse::HTTP_OK, std::nullopt), false)) {
        m_stream->setstate(std::ios::badbit);
    }
    return *m_stream;
}

bool HttpExchange::send(std::string_view bytes, bool moreFollow)
{
    std::size_t waiting = 0; // bytes reserved for a reply that waits to be read
    TimePoint until = std::chrono::steady_clock::now() + m_settings.sendTimeout;
    m_connection.beginWaits();
    while (!bytes.empty() && !m_sendFailed) {
        const ssize_t count = ::send(m_connection.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL | (moreFollow ? MSG_MORE : 0));
        if (count >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            m_connection.addProgress(static_cast<std::size_t>(count));
            until = std::chrono::steady_clock::now() + m_settings.sendTimeout;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            m_sendFailed = true;
            break;
        }
        if (waiting == 0) {
            waiting = bytes.size() * ReplyFactor;
            m_connection.reserveAnyway(waiting);
        }
        m_sendFailed = m_connection.wait(PeerWait::Reading, POLLOUT, until) != WaitResult::Ready;
    }
    if (waiting > 0) {
        m_connection.release(waiting);
    }
    m_keepAlive = m_keepAlive && !m_sendFailed;
    return !m_sendFailed;
}

void HttpExchange::finish()
{
    if (m_stream != nullptr) {
        m_stream->flush();
        if (m_stream->good() && m_head.minorVersion == 1) {
            (void)send(LastChunk, false);
        }
    }
}

void HttpExchange::abort()
{
    m_keepAlive = false;
    m_sendFailed = true;
}

void HttpExchange::holdAnswer(std::size_t bytes)
{
    m_connection.reserveAnyway(bytes);
    m_reserved += bytes;
}

bool HttpExchange::replied() const
{
    return m_replied;
}

int HttpExchange::callerSocket() const
{
    return m_connection.descriptor();
}

bool HttpExchange::callerDisconnected() const
{
    char byte = 0;
    return ::recv(callerSocket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpExchange::closeAfterReply()
{
    m_keepAlive = false;
}

} // namespace vanillanotch
