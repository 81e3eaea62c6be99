// FrontExchange: replies, and the memory that a request's handler holds.
#include "transport/front.h"

#include <algorithm>
#include <poll.h>

namespace vanillanotch
{

namespace
{
constexpr std::size_t MaxPipelinedBytes = 64 * 1024; // bytes of further requests that are read ahead while one is served; beyond it reading pauses
constexpr Duration MemoryCheckInterval = std::chrono::milliseconds(100); // longest wait for memory until stalled connections are looked for again
} // namespace

FrontExchange::FrontExchange(FrontServer &server, FrontConnection &connection, RequestHead head, std::string body, TimePoint arrived)
    : m_server(server)
    , m_connection(connection)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrived(arrived)
    , m_closeAfterReply(m_head.minorVersion == 0 || m_head.headers.listContains("Connection", "close"))
{
}

std::string_view FrontExchange::path() const
{
    const std::string_view target = m_head.target;
    return target.substr(0, target.find('?'));
}

std::string FrontExchange::encodeHead(int status, const Headers &headers)
{
    m_closeAfterReply = m_closeAfterReply || m_server.closing();
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\n";
    for (const HeaderField &field : headers.all()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (m_closeAfterReply) {
        text += "Connection: close\r\n";
    }
    return text;
}

bool FrontExchange::send(MessageParts parts, TimePoint until)
{
    assertNoLockHeld("FrontExchange::send");
    const auto left = [&parts] {
        return parts[0].size() + parts[1].size() + parts[2].size();
    };
    bool blocked = false;
    while (left() > 0 && !m_connection.disconnected) {
        const std::size_t before = left();
        const IoState state = m_connection.io.send(parts);
        if (state == IoState::Reset) {
            m_connection.disconnected = true;
        } else if (left() > 0) {
            if (!blocked) {
                blocked = true;
                m_server.setBlocked(m_connection, true);
            }
            {
                const Lock lock(m_server.m_mutex); // evict() looks at blocked connections
                m_connection.recordProgress(before - left(), std::chrono::steady_clock::now());
            }
            pollfd entry{m_connection.io.descriptor(), POLLOUT, 0};
            (void)::poll(&entry, 1, pollTimeout(until).count());
            if (std::chrono::steady_clock::now() >= until) {
                m_connection.disconnected = true; // a caller that has not taken the bytes by `until` counts as disconnected
            }
        }
    }
    if (blocked) {
        m_server.setBlocked(m_connection, false);
    }
    return !m_connection.disconnected;
}

bool FrontExchange::sendOrLeave(std::string_view head, std::string_view body, std::string *ownedBody, TimePoint until, Duration pause)
{
    assertNoLockHeld("FrontExchange::sendOrLeave");
    if (m_connection.disconnected) {
        return false;
    }
    MessageParts parts{head, body, {}};
    if (m_connection.io.send(parts) == IoState::Reset) {
        m_connection.disconnected = true;
        return false;
    }
    UnsentReply &unsent = m_connection.unsent;
    unsent.until = until;
    unsent.pause = pause;
    unsent.sent = 0;
    if (parts[0].empty() && parts[1].empty()) {
        return true;
    }
    if (ownedBody != nullptr && parts[0].empty()) {
        unsent.sent = body.size() - parts[1].size();
        unsent.text = std::move(*ownedBody);
    } else {
        unsent.text.reserve(parts[0].size() + parts[1].size());
        unsent.text.assign(parts[0]).append(parts[1]);
    }
    return true;
}

bool FrontExchange::reply(int status, const Headers &headers, std::string_view body, TimePoint until)
{
    m_replied = true;
    const std::string head = encodeHead(status, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return sendOrLeave(head, m_head.method == "HEAD" ? std::string_view() : body, nullptr, until);
}

bool FrontExchange::replyLong(int status, const Headers &headers, std::string body, TimePoint until)
{
    return replySlowly(status, headers, std::move(body), Duration::max(), until);
}

bool FrontExchange::replySlowly(int status, const Headers &headers, std::string body, Duration pause, TimePoint until)
{
    m_replied = true;
    const std::string head = encodeHead(status, headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (m_head.method == "HEAD") {
        return sendOrLeave(head, {}, nullptr, until);
    }
    return sendOrLeave(head, body, &body, until, pause);
}

bool FrontExchange::beginStream(int status, const Headers &headers, std::string_view firstBytes, TimePoint until)
{
    m_replied = true;
    m_streaming = true;
    m_chunked = m_head.minorVersion == 1;
    m_closeAfterReply = m_closeAfterReply || !m_chunked;
    std::string text = encodeHead(status, headers);
    text += m_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    if (!m_chunked || firstBytes.empty()) {
        return send({text, firstBytes, {}}, until);
    }
    text += chunkBegin(firstBytes.size());
    return send({text, firstBytes, ChunkEnd}, until);
}

bool FrontExchange::streamBytes(std::string_view bytes, TimePoint until)
{
    if (!m_chunked || bytes.empty()) {
        return send({bytes, {}, {}}, until);
    }
    const std::string begin = chunkBegin(bytes.size());
    return send({begin, bytes, ChunkEnd}, until);
}

bool FrontExchange::endStream(TimePoint until)
{
    m_streaming = false;
    return m_chunked ? send({LastChunk, {}, {}}, until) : !m_connection.disconnected;
}

void FrontExchange::abort()
{
    m_replied = true;
    m_connection.disconnected = true;
    if (!m_streaming || !m_chunked) {
        m_connection.io.resetOnClose(); // not for a chunked stream: a reset could discard what the caller hasn't read yet
    }
}

std::string FrontExchange::takeArrived()
{
    return std::exchange(m_connection.io.received(), std::string());
}

bool FrontExchange::tryHold(std::size_t bytes)
{
    return m_connection.holdForHandler(bytes);
}

bool FrontExchange::hold(std::size_t bytes, TimePoint until)
{
    while (!m_connection.holdForHandler(bytes)) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= until || m_connection.disconnected || bytes > m_server.m_budget.limits().perHolder) {
            return false;
        }
        m_server.m_budget.awaitRelease(std::min(until, now + MemoryCheckInterval));
    }
    return true;
}

bool FrontExchange::cancelled() const
{
    return m_connection.disconnected;
}

void FrontExchange::preparePoll(pollfd &entry) const
{
    const bool full = m_connection.io.received().size() >= MaxPipelinedBytes;
    entry.fd = m_connection.disconnected ? -1 : m_connection.io.descriptor();
    entry.events = static_cast<short>(full ? POLLRDHUP : POLLIN | POLLRDHUP);
    entry.revents = 0;
}

void FrontExchange::checkPoll(const pollfd &entry)
{
    if (entry.fd < 0 || entry.revents == 0) {
        return;
    }
    // A caller that has closed its sending side, while the bytes that it sent before are too many to be received, is gone too.
    const bool full = m_connection.io.received().size() >= MaxPipelinedBytes;
    if ((entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0 || (full && (entry.revents & POLLRDHUP) != 0)) {
        m_connection.disconnected = true;
        return;
    }
    // What is received is the end of the connection, or bytes of a further request, which are kept until this request has been served.
    const IoState state = m_connection.io.receive();
    if (state == IoState::Closed || state == IoState::Reset || !m_connection.holdForHandler(m_connection.handlerBytes)) {
        m_connection.disconnected = true; // also when memory is short: a caller that sends requests ahead may lose them, they haven't run
    }
}

} // namespace vanillanotch
