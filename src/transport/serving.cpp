// FrontServer: a request from its first byte to the end of its reply.
#include "transport/front.h"

#include <algorithm>
#include <sys/socket.h>

namespace vanillanotch
{

namespace
{
constexpr unsigned MaxReadsPerEvent = 16; // most reads of one connection until others have their turn
constexpr unsigned MaxRequestsInARow = 16; // most requests of one connection that a thread serves until other requests have their turn
constexpr std::string_view RetryAfterSeconds = "1"; // of a refusal for want of memory; stalled connections are closed well within it
constexpr Duration DrainTimeout = std::chrono::seconds(1); // for the caller to read the reply to a request that could not be read
constexpr std::size_t MaxDrainedBytes = 1024 * 1024; // most bytes that are read after such a reply
} // namespace

void FrontServer::receive(FrontConnection &connection)
{
    for (unsigned reads = 0; reads < MaxReadsPerEvent; ++reads) {
        std::string &received = connection.io.received();
        const std::size_t before = received.size();
        const std::size_t needed = connection.reader.heldBytes() + std::max(received.capacity(), before + Connection::ReceiveBytes);
        if (!hold(connection, needed)) {
            refuse(connection, ErrorCode::Overloaded, 503);
            return;
        }
        const IoState state = connection.io.receive();
        if (state == IoState::Closed || state == IoState::Reset) {
            closeConnection(connection);
            return;
        }
        if (state == IoState::WouldBlock) {
            park(connection, connection.active ? Park::Receiving : Park::Idle);
            return;
        }
        const std::size_t count = received.size() - before;
        beginRequest(connection);
        connection.recordProgress(count, std::chrono::steady_clock::now());
        // What a short read has left behind, if anything, comes with the next event.
        const bool last = count < Connection::ReceiveBytes || reads + 1 == MaxReadsPerEvent;
        const Assembly assembly = assemble(connection, last);
        if (assembly == Assembly::Complete) {
            post(connection);
        }
        if (assembly != Assembly::Incomplete) {
            return;
        }
    }
}

void FrontServer::sendRest(FrontConnection &connection)
{
    UnsentReply &unsent = connection.unsent;
    std::string_view rest = std::string_view(unsent.text).substr(unsent.sent);
    if (connection.io.send(rest) == IoState::Reset) {
        closeConnection(connection);
        return;
    }
    connection.recordProgress(unsent.text.size() - rest.size() - unsent.sent, std::chrono::steady_clock::now());
    unsent.sent = unsent.text.size() - rest.size();
    if (!unsent.empty()) {
        park(connection, Park::Sending);
        return;
    }
    unsent.clear();
    finishReply(connection);
    if (connection.closeAfterReply) {
        closeConnection(connection);
    } else if (assemble(connection, true) == Assembly::Complete) {
        post(connection);
    }
}

void FrontServer::drain(FrontConnection &connection)
{
    for (unsigned reads = 0; reads < MaxReadsPerEvent; ++reads) {
        const IoState state = connection.io.receive();
        connection.drained += connection.io.received().size();
        freeMemory(connection.io.received());
        if (state == IoState::Closed || state == IoState::Reset || connection.drained > MaxDrainedBytes) {
            closeConnection(connection);
            return;
        }
        if (state == IoState::WouldBlock) {
            break;
        }
    }
    park(connection, Park::Draining);
}

void FrontServer::post(FrontConnection &connection)
{
    m_pool.post([this, &connection] {
        try {
            serve(connection);
        } catch (const std::exception &exception) {
            // One request must not end the process, and with it all others.
            logEvent(LogLevel::Error, "request.handler_failed", {{"server", m_name}, {"detail", exception.what()}});
            connection.io.resetOnClose(); // what was sent must not look complete
            closeConnection(connection);
        }
    });
}

void FrontServer::beginRequest(FrontConnection &connection)
{
    if (!connection.active) {
        connection.active = true;
        ++m_activeRequests;
        connection.arrived = std::chrono::steady_clock::now();
        connection.movedAt = connection.arrived;
        connection.movedBytes = 0;
        connection.headRead = TimePoint{};
        connection.limits = m_handler.limits();
    }
}

void FrontServer::endRequest(FrontConnection &connection)
{
    if (connection.active) {
        connection.active = false;
        --m_activeRequests;
    }
}

// The reply has been taken whole: what was held for the request is given back.
void FrontServer::finishReply(FrontConnection &connection)
{
    endRequest(connection);
    connection.requestBytes = 0;
    connection.handlerBytes = 0;
    std::string &received = connection.io.received();
    if (received.empty() && received.capacity() > 0) {
        freeMemory(received); // an idle connection holds no buffer
    }
    (void)connection.reservation.resize(std::min(connection.reservation.bytes(), received.capacity()));
}

FrontServer::Assembly FrontServer::assemble(FrontConnection &connection, bool parkIncomplete)
{
    std::string &received = connection.io.received();
    if (received.empty() && !connection.active) {
        park(connection, Park::Idle);
        return Assembly::Left;
    }
    beginRequest(connection);
    const RequestReader::State state = connection.reader.advance(received, connection.limits, connection);
    if (state == RequestReader::State::Refused) {
        refuse(connection, connection.reader.error(), connection.reader.status());
        return Assembly::Left;
    }
    if (connection.reader.headComplete() && connection.headRead == TimePoint{}) {
        connection.headRead = std::chrono::steady_clock::now();
    }
    if (connection.reader.takeContinue()) {
        std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)connection.io.send(interim);
    }
    if (state == RequestReader::State::Complete) {
        return Assembly::Complete;
    }
    if (!parkIncomplete) {
        return Assembly::Incomplete;
    }
    if (received.empty() && received.capacity() > 0) {
        freeMemory(received); // while the body is awaited
    }
    if (!connection.hold(connection.reader.heldBytes())) {
        refuse(connection, ErrorCode::Overloaded, 503);
        return Assembly::Left;
    }
    park(connection, Park::Receiving);
    return Assembly::Left;
}

void FrontServer::serve(FrontConnection &connection)
{
    for (unsigned served = 1;; ++served) {
        if (!serveOne(connection)) {
            closeConnection(connection);
            return;
        }
        if (!connection.unsent.empty()) {
            (void)connection.reservation.resize(
                std::min(connection.reservation.bytes(), connection.unsent.text.capacity() + connection.io.received().capacity()));
            connection.movedAt = std::chrono::steady_clock::now();
            connection.movedBytes = 0;
            park(connection, Park::Sending);
            return;
        }
        finishReply(connection);
        if (connection.closeAfterReply) {
            closeConnection(connection);
            return;
        }
        if (assemble(connection, true) != Assembly::Complete) {
            return;
        }
        if (served >= MaxRequestsInARow) {
            post(connection);
            return;
        }
    }
}

// Sends an error reply to a request that could not be read, and discards what the caller still sends.
void FrontServer::refuse(FrontConnection &connection, ErrorCode code, int status)
{
    if (code == ErrorCode::Overloaded) {
        ++m_refusedForMemory; // checkShortages() logs them, since there may be many
    } else {
        logEvent(LogLevel::Warning, "request.unreadable", {{"server", m_name}, {"code", code}, {"status", status}});
    }
    FrontExchange exchange(*this, connection, RequestHead{}, std::string(), std::chrono::steady_clock::now());
    exchange.closeAfterReply();
    Headers headers;
    headers.add("Content-Type", "application/json");
    if (status == 503) {
        headers.add("Retry-After", std::string(RetryAfterSeconds));
    }
    (void)exchange.reply(status, headers, m_handler.describeError(code), std::chrono::steady_clock::now());
    connection.unsent.clear(); // a caller whose socket doesn't take a short reply has replies before it that it doesn't read
    connection.resetReader();
    freeMemory(connection.io.received());
    finishReply(connection);
    if (connection.disconnected) {
        closeConnection(connection);
        return;
    }
    // Ends the sending side and reads on for a while: closing a socket that holds unread bytes resets the connection, and the caller could lose the reply.
    (void)::shutdown(connection.io.descriptor(), SHUT_WR);
    connection.deadline = std::chrono::steady_clock::now() + DrainTimeout;
    drain(connection);
}

bool FrontServer::serveOne(FrontConnection &connection)
{
    connection.requestBytes = connection.reader.heldBytes();
    FrontExchange exchange(*this, connection, connection.reader.takeHead(), connection.reader.takeBody(), connection.arrived);
    connection.resetReader();
    m_handler.serve(exchange);
    const bool unfinished = !exchange.m_replied || exchange.m_streaming;
    if (unfinished && !connection.disconnected) {
        exchange.abort();
    }
    // Also while the server closes, a connection is closed here only if its reply announced that: the caller may have sent its next request.
    connection.closeAfterReply = exchange.m_closeAfterReply;
    return !unfinished && !connection.disconnected;
}

} // namespace vanillanotch
