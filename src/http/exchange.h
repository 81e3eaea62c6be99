// Reading of requests and sending of replies; private to the http library.
#pragma once

#include "http/connections.h"
#include "transport/transport.h"

#include <streambuf>

namespace vanillanotch
{

// Reads the requests of one connection.
class RequestReader
{
public:
    explicit RequestReader(ServedConnection &connection);
    bool awaitRequest(TimePoint until); // false: no request came
    // Returns the head with its empty line. Errors: HeaderTooLarge, ReadTimeout, Overloaded; CallerDisconnected: the connection has ended.
    Result<std::string> readHead(std::size_t limit, TimePoint until);
    // Reads the whole body into `out`. Errors: BodyTooLarge, MalformedRequest, ReadTimeout (also when the connection has ended), Overloaded.
    Result<void> readBody(const BodyFraming &framing, std::size_t limit, TimePoint until, ReservedBuffer &out);
    void endRequest(); // frees memory that the next request may not need

private:
    Result<void> receive(TimePoint until); // waits for bytes and appends them to m_received
    Result<void> readLength(std::size_t length, TimePoint until, ReservedBuffer &out);
    Result<void> readChunks(std::size_t limit, TimePoint until, ReservedBuffer &out);

    ServedConnection &m_connection;
    ReservedBuffer m_received; // bytes that have not been consumed yet
};

// Buffer of a streamed reply, which it sends with chunked coding or, to a caller with HTTP/1.0, without coding.
class ReplyBuffer final : public std::streambuf
{
public:
    ReplyBuffer(HttpExchange &exchange, bool chunked);

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char *bytes, std::streamsize count) override;
    int sync() override;

private:
    bool sendChunk(std::string_view data);

    HttpExchange &m_exchange;
    const bool m_chunked;
    std::array<char, 4096> m_data{};
};

} // namespace vanillanotch
