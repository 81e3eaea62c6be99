// HTTP/1.1 messages: heads, header fields, body framing and chunked coding. Part of the transport library; transport.h includes it.
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillanotch
{

struct HeaderField {
    std::string name;
    std::string value;
};

// Header fields in the order in which they were received or added. Names are compared without regard to case.
class Headers
{
public:
    const std::string *find(std::string_view name) const; // value of the first field of that name; nullptr: absent
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    void reserve(std::size_t fields)
    {
        m_fields.reserve(fields);
    }
    std::size_t heldBytes() const; // memory of the fields, as allocated
    void remove(std::string_view name);
    // True when a field of that name holds the token in its comma-separated list. Tokens are compared without regard to case.
    bool listContains(std::string_view name, std::string_view token) const;
    const std::vector<HeaderField> &all() const
    {
        return m_fields;
    }

private:
    std::vector<HeaderField> m_fields;
};

bool equalIgnoringCase(std::string_view a, std::string_view b);
// True for fields that concern one connection only (RFC 9110, section 7.6.1) and aren't forwarded. Content-Length counts as such a field,
// since the sender of each message sets it anew.
bool isHopByHopHeader(std::string_view headerName);

struct RequestHead {
    std::string method;
    std::string target;
    int minorVersion = 1; // 0: HTTP/1.0, 1: HTTP/1.1
    Headers headers;
};

struct ReplyHead {
    int status = 0; // 100 to 599
    int minorVersion = 1; // 0: HTTP/1.0, 1: HTTP/1.1
    Headers headers;
};

enum class BodyKind {
    None, // no body
    Length, // as many bytes as Content-Length says
    Chunked, // chunked transfer coding
    UntilClose // all bytes until the server closes the connection; replies only
};

struct BodyFraming {
    BodyKind kind = BodyKind::None;
    std::size_t length = 0; // bytes; only set for BodyKind::Length
};

// Parses a head. `block` holds everything up to and including the empty line. Errors: MalformedRequest.
Result<RequestHead> parseRequestHead(std::string_view block);
// Returns how the body that follows the head is delimited. Errors: MalformedRequest.
Result<BodyFraming> requestFraming(const RequestHead &head);
// As parseRequestHead(), but for a reply. Errors: InvalidReply.
Result<ReplyHead> parseReplyHead(std::string_view block);
// As requestFraming(), but for a reply: status 204 and 304 have no body, any other reply without a framing field has
// BodyKind::UntilClose. Errors: InvalidReply.
Result<BodyFraming> replyFraming(const ReplyHead &head);

struct ReplyHeadLimits {
    std::size_t bytes = 64 * 1024; // largest head
    // Largest number of lines in a head. Each takes memory of its own, so that a head of short lines would take many times its size.
    std::size_t lines = 256;
    unsigned interimReplies = 16; // largest number of interim replies (1xx) before the reply itself
};

// Finds the head of a reply in what was received, after interim replies, which it drops.
class ReplyHeadReader
{
public:
    explicit ReplyHeadReader(const ReplyHeadLimits &limits)
        : m_limits(limits)
    {
    }
    // Removes the head from the front of `received`. nullopt: it has not been received whole yet. Errors: InvalidReply.
    std::optional<Result<ReplyHead>> take(std::string &received);

private:
    const ReplyHeadLimits m_limits;
    unsigned m_interimReplies = 0; // number of interim replies that were received
};

std::string_view reasonPhrase(int status); // text that follows the status in a reply, such as "Not Found"; "Status" when the function doesn't know the status

// Decodes the chunked transfer coding of RFC 9112, section 7.1. A sign or a space before a size and a bare line feed are errors.
class ChunkDecoder
{
public:
    // Removes what can be decoded from the front of `in` and appends the data to `out`; call it again when more bytes have come.
    // Errors: MalformedRequest (the bytes are not valid chunked coding; also for the body of a reply), BodyTooLarge (`out` would be longer
    // than `limit` bytes).
    Result<void> feed(std::string &in, std::string &out, std::size_t limit = std::string::npos);
    bool complete() const // the last chunk and the trailers have been read
    {
        return m_state == State::Done;
    }

private:
    enum class State { Size, Data, DataEnd, Trailer, Done };
    static Result<bool> takeLine(std::string_view &in, std::string_view &line); // false: the line has not been received whole yet
    Result<void> decode(std::string_view &in, std::string &out, std::size_t limit);
    Result<void> endLine(std::string_view line); // takes a size line, a trailer line or the end of a chunk's data
    State m_state = State::Size;
    std::size_t m_chunkLeft = 0; // bytes of the current chunk that are still to come
    std::size_t m_trailerBytes = 0;
    std::size_t m_trailerLines = 0;
    std::size_t m_extensionBytes = 0;
};

// Appends one chunk. `data` must not be empty: a chunk of size 0 ends the body.
void appendChunk(std::string &out, std::string_view data);
std::string chunkBegin(std::size_t size); // size line of a chunk; its data and ChunkEnd follow
extern const std::string_view ChunkEnd;
extern const std::string_view LastChunk; // ends a chunked body; no trailers

} // namespace vanillanotch
