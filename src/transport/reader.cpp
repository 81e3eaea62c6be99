// RequestReader: heads, bodies and their limits.
#include "transport/front.h"

#include <algorithm>

namespace vanillanotch
{

std::size_t RequestReader::heldBytes() const
{
    return m_body.capacity() + m_head.target.capacity() + m_head.headers.heldBytes();
}

bool RequestReader::takeContinue()
{
    return std::exchange(m_awaitsContinue, false);
}

RequestReader::State RequestReader::refuse(ErrorCode code, int status)
{
    m_error = code;
    m_status = status;
    return State::Refused;
}

RequestReader::State RequestReader::advance(std::string &received, const FrontLimits &limits, MemoryGrant &memory)
{
    if (!m_headComplete) {
        if (const State state = readHead(received, limits, memory); state != State::Complete) {
            return state;
        }
    }
    return readBody(received, limits, memory);
}

// Complete: the head has been read.
RequestReader::State RequestReader::readHead(std::string &received, const FrontLimits &limits, MemoryGrant &memory)
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    const std::size_t from = m_searched;
    const std::size_t end = received.find(HeadEnd, from);
    // Only an empty line that ends with CR LF ends a head. A request with two line feeds in a row (no CR between them) before that end is refused.
    if (received.find("\n\n", from) < end) {
        return refuse(ErrorCode::MalformedRequest, 400);
    }
    if (end == std::string::npos) {
        m_searched = received.size() < HeadEnd.size() ? 0 : received.size() - HeadEnd.size() + 1;
        return received.size() > limits.maxHeadBytes ? refuse(ErrorCode::HeaderTooLarge, 431) : State::NeedsBytes;
    }
    const std::size_t size = end + HeadEnd.size();
    if (size > limits.maxHeadBytes) {
        return refuse(ErrorCode::HeaderTooLarge, 431);
    }
    const auto lines = static_cast<std::size_t>(std::count(received.begin(), received.begin() + static_cast<std::ptrdiff_t>(size), '\n'));
    if (!memory.hold(lines * sizeof(HeaderField) + size)) {
        return refuse(ErrorCode::Overloaded, 503);
    }
    auto head = parseRequestHead(std::string_view(received).substr(0, size));
    const auto framing = head ? requestFraming(*head) : Result<BodyFraming>(tl::unexpected(head.error()));
    if (!framing) {
        return refuse(ErrorCode::MalformedRequest, 400);
    }
    received.erase(0, size);
    m_head = std::move(*head);
    m_framing = *framing;
    m_headComplete = true;
    if (m_framing.kind == BodyKind::Length && m_framing.length > limits.maxBodyBytes) {
        return refuse(ErrorCode::BodyTooLarge, 413);
    }
    m_awaitsContinue = received.empty() && m_head.headers.listContains("Expect", "100-continue");
    return State::Complete;
}

RequestReader::State RequestReader::readBody(std::string &received, const FrontLimits &limits, MemoryGrant &memory)
{
    if (m_framing.kind == BodyKind::None) {
        return State::Complete;
    }
    // The received bytes hold at most as many bytes of the body, so this room suffices, also with chunks.
    const std::size_t missing = m_framing.kind == BodyKind::Length ? m_framing.length - m_body.size() : limits.maxBodyBytes + 1 - m_body.size();
    const std::size_t limit = m_framing.kind == BodyKind::Length ? m_framing.length : limits.maxBodyBytes + 1;
    if (!growWithin(m_body, m_body.size() + std::min(received.size(), missing), limit, heldBytes() - m_body.capacity(), memory)) {
        return refuse(ErrorCode::Overloaded, 503);
    }
    if (m_framing.kind == BodyKind::Length) {
        const std::size_t taken = std::min(received.size(), missing);
        m_body.append(received, 0, taken);
        received.erase(0, taken);
        return m_body.size() == m_framing.length ? State::Complete : State::NeedsBytes;
    }
    if (const auto fed = m_chunks.feed(received, m_body, limits.maxBodyBytes); !fed) {
        return refuse(fed.error().code, fed.error().code == ErrorCode::BodyTooLarge ? 413 : 400);
    }
    return m_chunks.complete() ? State::Complete : State::NeedsBytes;
}

} // namespace vanillanotch
