#include "transport/transport.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace vanillanotch
{

namespace
{
constexpr std::size_t MaxChunkLineBytes = 1024; // longest size line or trailer line, bytes
constexpr std::size_t MaxTrailerBytes = 8 * 1024; // longest trailer section, bytes
constexpr std::size_t MaxTrailerLines = 256; // most trailer lines
constexpr std::size_t MaxExtensionBytes = 64 * 1024; // longest chunk extensions of a whole body, bytes; no caller is known to send any
constexpr int FirstInterimStatus = 100; // replies with 1xx are interim
constexpr int FirstFinalStatus = 200;
constexpr std::size_t ShortHeadBytes = 2 * Connection::ReceiveBytes; // capacity that the buffer of a connection may keep after the head of a reply
constexpr std::size_t MaxChunkSizeDigits = 8; // most hexadecimal digits of a size: sizes up to 4 GB, which is more than any body may have

char toLower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool isToken(std::string_view text)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || Others.find(c) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= ' ' && byte != 0x7f);
    });
}

bool isOriginFormTarget(std::string_view text)
{
    return !text.empty() && text.front() == '/' && std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte > ' ' && byte < 0x7f;
    });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

// Removes the next line and its CR LF from the front of `block` and returns the line without the CR LF. nullopt: `block` has no CR LF, or the
// line holds another CR or LF.
std::optional<std::string_view> nextLine(std::string_view &block)
{
    const std::size_t end = block.find("\r\n");
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view line = block.substr(0, end);
    block.remove_prefix(end + 2);
    if (line.find_first_of("\r\n") != std::string_view::npos) {
        return std::nullopt;
    }
    return line;
}

std::optional<int> parseMinorVersion(std::string_view text)
{
    if (text == "HTTP/1.1") {
        return 1;
    }
    if (text == "HTTP/1.0") {
        return 0;
    }
    return std::nullopt;
}

Result<void> parseFields(std::string_view block, Headers &headers, ErrorCode code)
{
    headers.reserve(static_cast<std::size_t>(std::count(block.begin(), block.end(), '\n'))); // so that a head of many lines takes no more than it needs
    for (;;) {
        const auto line = nextLine(block);
        if (!line) {
            return fail(code, "expected CR LF at the end of a header line; the line has no end or holds a bare CR or LF");
        }
        if (line->empty()) {
            return block.empty() ? Result<void>() : fail(code, "expected the end of the head after its empty line; further bytes follow");
        }
        const std::size_t colon = line->find(':');
        // This check also refuses a folded line (it begins with a space) and a space before the colon.
        if (colon == std::string_view::npos || !isToken(line->substr(0, colon))) {
            return fail(code, "expected \"name: value\" in a header line; the name is missing, empty or holds an invalid character");
        }
        const std::string_view value = trimmed(line->substr(colon + 1));
        if (!isFieldValue(value)) {
            return fail(code, "expected printable characters in a header value; it holds a control character");
        }
        headers.add(std::string(line->substr(0, colon)), std::string(value));
    }
}

std::optional<std::size_t> parseDecimal(std::string_view text)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool digits = !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0;
    if (!digits || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Returns how the body is delimited, according to the header fields. `absent`: the kind to return when there is neither Transfer-Encoding nor
// Content-Length. `code`: the error code to return when the fields are invalid or contradict each other.
Result<BodyFraming> framingOf(const Headers &headers, int version, BodyKind absent, ErrorCode code)
{
    const std::size_t codings = headers.count("Transfer-Encoding");
    const std::size_t lengths = headers.count("Content-Length");
    if (codings > 0) {
        const bool chunked = codings == 1 && equalIgnoringCase(*headers.find("Transfer-Encoding"), "chunked");
        if (!chunked || lengths > 0 || version == 0) {
            return fail(code, "expected one Transfer-Encoding \"chunked\" in HTTP/1.1 without Content-Length; the coding is unknown or ambiguous");
        }
        return BodyFraming{BodyKind::Chunked, 0};
    }
    if (lengths == 0) {
        return BodyFraming{absent, 0};
    }
    const auto length = parseDecimal(*headers.find("Content-Length"));
    if (lengths > 1 || !length) {
        return fail(code, "expected one Content-Length of decimal digits; it is repeated or not a number");
    }
    return BodyFraming{*length == 0 ? BodyKind::None : BodyKind::Length, *length};
}
} // namespace

//-----------------------------------------------------------------------------
// Headers
//-----------------------------------------------------------------------------

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return toLower(x) == toLower(y);
           });
}

bool isHopByHopHeader(std::string_view headerName)
{
    static constexpr std::array<std::string_view, 9> Names = {"Connection", "Keep-Alive",         "Proxy-Connection", "Transfer-Encoding", "TE",
                                                              "Trailer",    "Proxy-Authenticate", "Upgrade",          "Content-Length"};
    return std::any_of(Names.begin(), Names.end(), [&](std::string_view name) {
        return equalIgnoringCase(name, headerName);
    });
}

const std::string *Headers::find(std::string_view name) const
{
    for (const HeaderField &field : m_fields) {
        if (equalIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(), [&](const HeaderField &field) {
        return equalIgnoringCase(field.name, name);
    }));
}

void Headers::add(std::string name, std::string value)
{
    m_fields.push_back(HeaderField{std::move(name), std::move(value)});
}

std::size_t Headers::heldBytes() const
{
    static const std::size_t inlineBytes = std::string().capacity(); // that a string holds without an allocation
    std::size_t bytes = m_fields.capacity() * sizeof(HeaderField);
    for (const HeaderField &field : m_fields) {
        bytes += field.name.capacity() > inlineBytes ? field.name.capacity() : 0;
        bytes += field.value.capacity() > inlineBytes ? field.value.capacity() : 0;
    }
    return bytes;
}

void Headers::remove(std::string_view name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(),
                                  [&](const HeaderField &field) {
                                      return equalIgnoringCase(field.name, name);
                                  }),
                   m_fields.end());
}

bool Headers::listContains(std::string_view name, std::string_view token) const
{
    for (const HeaderField &field : m_fields) {
        if (!equalIgnoringCase(field.name, name)) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (equalIgnoringCase(trimmed(rest.substr(0, comma)), token)) {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

//-----------------------------------------------------------------------------
// Heads
//-----------------------------------------------------------------------------

Result<RequestHead> parseRequestHead(std::string_view block)
{
    const auto line = nextLine(block);
    if (!line) {
        return fail(ErrorCode::MalformedRequest, "expected a request line that ends with CR LF; the line has no end or holds a bare CR or LF");
    }
    const std::size_t firstSpace = line->find(' ');
    const std::size_t secondSpace = firstSpace == std::string_view::npos ? firstSpace : line->find(' ', firstSpace + 1);
    if (secondSpace == std::string_view::npos) {
        return fail(ErrorCode::MalformedRequest, "expected \"METHOD TARGET VERSION\" in the request line; a part is missing");
    }
    RequestHead head;
    head.method = line->substr(0, firstSpace);
    head.target = line->substr(firstSpace + 1, secondSpace - firstSpace - 1);
    const auto version = parseMinorVersion(line->substr(secondSpace + 1));
    if (!isToken(head.method) || !isOriginFormTarget(head.target) || !version) {
        return fail(ErrorCode::MalformedRequest,
                    "expected a method, a target that begins with a slash, and HTTP/1.0 or HTTP/1.1; a part of the request line is invalid");
    }
    head.minorVersion = *version;
    if (auto fields = parseFields(block, head.headers, ErrorCode::MalformedRequest); !fields) {
        return tl::unexpected(fields.error());
    }
    if (head.headers.count("Host") != 1) {
        return fail(ErrorCode::MalformedRequest, "expected exactly one Host header; it is missing or repeated");
    }
    return head;
}

Result<BodyFraming> requestFraming(const RequestHead &head)
{
    return framingOf(head.headers, head.minorVersion, BodyKind::None, ErrorCode::MalformedRequest);
}

Result<ReplyHead> parseReplyHead(std::string_view block)
{
    constexpr std::size_t VersionSize = 8;
    constexpr std::size_t StatusSize = 3;
    const auto line = nextLine(block);
    if (!line || line->size() < VersionSize + 1 + StatusSize || (*line)[VersionSize] != ' ') {
        return fail(ErrorCode::InvalidReply,
                    "expected a status line \"HTTP/1.x NNN\" that ends with CR LF; the line is too short, has no end or has no space after the version");
    }
    const auto version = parseMinorVersion(line->substr(0, VersionSize));
    const auto status = parseDecimal(line->substr(VersionSize + 1, StatusSize));
    const bool statusEnds = line->size() == VersionSize + 1 + StatusSize || (*line)[VersionSize + 1 + StatusSize] == ' ';
    if (!version || !status || *status < 100 || *status > 599 || !statusEnds) {
        return fail(ErrorCode::InvalidReply,
                    "expected a status line with HTTP/1.0 or HTTP/1.1 and a status from 100 to 599; the version or the status is another");
    }
    ReplyHead head;
    head.status = static_cast<int>(*status);
    head.minorVersion = *version;
    if (auto fields = parseFields(block, head.headers, ErrorCode::InvalidReply); !fields) {
        return tl::unexpected(fields.error());
    }
    return head;
}

Result<BodyFraming> replyFraming(const ReplyHead &head)
{
    if (head.status == 204 || head.status == 304) {
        return BodyFraming{};
    }
    return framingOf(head.headers, head.minorVersion, BodyKind::UntilClose, ErrorCode::InvalidReply);
}

std::optional<Result<ReplyHead>> ReplyHeadReader::take(std::string &received)
{
    for (;;) {
        const std::size_t end = received.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (received.size() > m_limits.bytes) {
                return fail(ErrorCode::InvalidReply, "expected a reply's head within the limit; its end is still missing");
            }
            return std::nullopt;
        }
        const std::string_view block = std::string_view(received).substr(0, end + 4);
        if (block.size() > m_limits.bytes || static_cast<std::size_t>(std::count(block.begin(), block.end(), '\n')) > m_limits.lines) {
            return fail(ErrorCode::InvalidReply, "expected a reply's head within the limits; it is longer, or has more lines");
        }
        auto head = parseReplyHead(block);
        received.erase(0, end + 4);
        if (received.capacity() > ShortHeadBytes) {
            received = std::string(received); // a long head takes no memory while the body is awaited
        }
        if (head && head->status >= FirstInterimStatus && head->status < FirstFinalStatus) {
            if (++m_interimReplies > m_limits.interimReplies) {
                return fail(ErrorCode::InvalidReply, "expected the reply after a few interim replies; more of them came");
            }
            continue;
        }
        return head;
    }
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

//-----------------------------------------------------------------------------
// Chunks
//-----------------------------------------------------------------------------

const std::string_view LastChunk = "0\r\n\r\n";

const std::string_view ChunkEnd = "\r\n";

std::string chunkBegin(std::size_t size)
{
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    return std::string(digits.data(), end).append("\r\n");
}

void appendChunk(std::string &out, std::string_view data)
{
    out.append(chunkBegin(data.size())).append(data).append(ChunkEnd);
}

Result<bool> ChunkDecoder::takeLine(std::string_view &in, std::string_view &line)
{
    const std::size_t end = in.find('\n');
    if (end == std::string_view::npos) {
        return in.size() > MaxChunkLineBytes
            ? Result<bool>(fail(ErrorCode::MalformedRequest, "expected a line of the chunked coding within the limit; its end is still missing"))
            : Result<bool>(false);
    }
    if (end == 0 || in[end - 1] != '\r' || end > MaxChunkLineBytes) {
        return fail(ErrorCode::MalformedRequest,
                    "expected a line of the chunked coding that ends with CR LF; it ends with a bare LF or is longer than the limit");
    }
    line = in.substr(0, end - 1);
    in.remove_prefix(end + 1);
    return true;
}

Result<void> ChunkDecoder::feed(std::string &in, std::string &out, std::size_t limit)
{
    std::string_view rest = in;
    auto fed = decode(rest, out, limit);
    in.erase(0, in.size() - rest.size()); // once for all chunks: with chunks of one byte, erasing each would take time that grows with the square
    return fed;
}

Result<void> ChunkDecoder::decode(std::string_view &in, std::string &out, std::size_t limit)
{
    while (m_state != State::Done) {
        if (m_state == State::Data) {
            const std::size_t taken = std::min(m_chunkLeft, in.size());
            if (taken > limit - std::min(limit, out.size())) {
                return fail(ErrorCode::BodyTooLarge);
            }
            out.append(in, 0, taken);
            in.remove_prefix(taken);
            m_chunkLeft -= taken;
            if (m_chunkLeft > 0) {
                return {};
            }
            m_state = State::DataEnd;
            continue;
        }
        std::string_view line;
        const auto whole = takeLine(in, line);
        if (!whole) {
            return tl::unexpected(whole.error());
        }
        if (!*whole) {
            return {};
        }
        if (auto taken = endLine(line); !taken) {
            return taken;
        }
    }
    return {};
}

Result<void> ChunkDecoder::endLine(std::string_view line)
{
    if (m_state == State::DataEnd) {
        if (!line.empty()) {
            return fail(ErrorCode::MalformedRequest, "expected CR LF after the data of a chunk; further bytes came: the chunk is longer than its size");
        }
        m_state = State::Size;
        return {};
    }
    if (m_state == State::Trailer) {
        m_trailerBytes += line.size();
        if (m_trailerBytes > MaxTrailerBytes || ++m_trailerLines > MaxTrailerLines) {
            return fail(ErrorCode::MalformedRequest, "expected the trailers of a chunked body within the limit; they are longer");
        }
        m_state = line.empty() ? State::Done : State::Trailer;
        return {};
    }
    const std::string_view digits = line.substr(0, line.find(';'));
    m_extensionBytes += line.size() - digits.size();
    if (m_extensionBytes > MaxExtensionBytes) {
        return fail(ErrorCode::MalformedRequest, "expected the chunk extensions of a body within the limit; they are longer");
    }
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    const bool valid = !digits.empty() && digits.size() <= MaxChunkSizeDigits && digits.front() != '-' && error == std::errc();
    if (!valid || end != digits.data() + digits.size()) {
        return fail(ErrorCode::MalformedRequest, "expected a chunk size in hexadecimal digits; it is empty, too long or holds other characters");
    }
    m_chunkLeft = size;
    m_state = size == 0 ? State::Trailer : State::Data;
    return {};
}

} // namespace vanillanotch
