#include "http/stream.h"

#include <algorithm>
#include <charconv>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// EventLineDecoder
//-----------------------------------------------------------------------------

namespace
{
constexpr std::size_t SizeLineLimit = 256; // bytes, chunk extensions included
constexpr Duration CancelCheckInterval = std::chrono::seconds(1);

// Moves bytes up to the next line end into `line`. True: the line is whole, and its end is gone from both.
bool takeLine(std::string_view &bytes, std::string &line)
{
    const std::size_t end = bytes.find('\n');
    line.append(bytes.substr(0, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    if (end == std::string_view::npos) {
        return false;
    }
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return true;
}
} // namespace

Result<void> EventLineDecoder::takeSizeLine(std::string_view &bytes)
{
    const bool whole = takeLine(bytes, m_sizeLine);
    if (m_sizeLine.size() > SizeLineLimit) {
        return fail(ErrorCode::InvalidReply, "the size line of a chunk is too long");
    }
    if (!whole) {
        return {};
    }
    const char *begin = m_sizeLine.data();
    const auto [end, error] = std::from_chars(begin, begin + m_sizeLine.size(), m_chunkLeft, 16);
    if (error != std::errc() || end == begin) {
        return fail(ErrorCode::InvalidReply, "a chunk has no size");
    }
    m_sizeLine.clear();
    m_state = m_chunkLeft == 0 ? State::Trailer : State::Data;
    return {};
}

void EventLineDecoder::takeTrailer(std::string_view &bytes)
{
    if (takeLine(bytes, m_trailerLine)) {
        m_state = m_trailerLine.empty() ? State::Done : State::Trailer;
        m_trailerLine.clear();
    }
}

Result<void> EventLineDecoder::takeData(std::string_view bytes, HttpReplyListener &waiter)
{
    while (!bytes.empty()) {
        const bool whole = takeLine(bytes, m_line);
        if (m_line.size() > m_lineLimit) {
            return fail(ErrorCode::InvalidReply, "a line of the reply is longer than the limit");
        }
        if (whole) {
            if (!m_line.empty() && !waiter.onLine(m_line)) {
                return fail(ErrorCode::CallerGone);
            }
            m_line.clear();
        }
    }
    return {};
}

Result<void> EventLineDecoder::feed(std::string_view bytes, HttpReplyListener &waiter)
{
    if (!m_chunked) {
        return takeData(bytes, waiter);
    }
    while (!bytes.empty() && m_state != State::Done) {
        switch (m_state) {
        case State::Size:
            if (auto taken = takeSizeLine(bytes); !taken) {
                return taken;
            }
            break;
        case State::Data: {
            const std::string_view part = bytes.substr(0, m_chunkLeft);
            bytes.remove_prefix(part.size());
            m_chunkLeft -= part.size();
            if (auto taken = takeData(part, waiter); !taken) {
                return taken;
            }
            if (m_chunkLeft == 0) {
                m_state = State::DataEnd;
            }
            break;
        }
        case State::DataEnd: {
            const std::size_t end = bytes.find('\n');
            bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
            if (end != std::string_view::npos) {
                m_state = State::Size;
            }
            break;
        }
        case State::Trailer:
            takeTrailer(bytes);
            break;
        case State::Done:
            break;
        }
    }
    return {};
}

//-----------------------------------------------------------------------------
// StreamPump
//-----------------------------------------------------------------------------

StreamReaderPool::StreamReaderPool(std::size_t workers)
    : m_stop(::eventfd(0, EFD_CLOEXEC))
{
    for (std::size_t i = 0; i < workers; ++i) {
        const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = 0;
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, m_stop, &event);
        m_epolls.push_back(epoll);
        m_threads.emplace_back([this, epoll] {
            pump(epoll);
        });
    }
}

StreamReaderPool::~StreamReaderPool()
{
    ::eventfd_write(m_stop, 1);
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (const int epoll : m_epolls) {
        ::close(epoll);
    }
    ::close(m_stop);
}

void StreamReaderPool::pump(int epoll)
{
    std::array<epoll_event, 64> events{};
    for (;;) {
        const int ready = ::epoll_wait(epoll, events.data(), static_cast<int>(events.size()), -1);
        for (int i = 0; i < ready; ++i) {
            const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
            if (id == 0) {
                return;
            }
            readStream(id);
        }
    }
}

void StreamReaderPool::readStream(std::uint64_t id)
{
    Ref<Stream> stream;
    {
        const Lock lock(m_mutex);
        const auto found = m_streams.find(id);
        if (found == m_streams.end()) {
            return; // ended between the event and now
        }
        stream = found->second;
    }
    {
        const Lock lock(stream->mutex);
        if (stream->detached || stream->end) {
            return;
        }
        stream->reading = true;
    }
    const StreamSource::ReadResult step = stream->source.read();
    const Lock lock(stream->mutex);
    stream->reading = false;
    stream->lastBytes = std::chrono::steady_clock::now();
    if (step != StreamSource::ReadResult::More) {
        stream->end = step;
    }
    if (stream->end || stream->detached) {
        stream->wake.notify_all();
    }
}

Result<StreamSource::ReadResult> StreamReaderPool::awaitEnd(Stream &stream, TimePoint deadline, Duration gap)
{
    Lock lock(stream.mutex);
    while (!stream.end) {
        const TimePoint now = std::chrono::steady_clock::now();
        const bool late = now >= deadline;
        const bool silent = now - stream.lastBytes >= gap;
        lock.unlock();
        const bool gone = !late && !silent && stream.source.cancelled();
        lock.lock();
        if (late || silent || gone) {
            stream.detached = true;
            stream.wake.wait(lock, [&stream] {
                return !stream.reading;
            });
            if (stream.end) { // it came in the last moment
                break;
            }
            if (late) {
                return fail(ErrorCode::DeadlineExceeded, "the deadline passed while the reply was streamed");
            }
            return gone ? fail(ErrorCode::CallerGone) : fail(ErrorCode::ServerTimeout, "the stream went silent");
        }
        const TimePoint next = std::min({deadline, stream.lastBytes + gap, now + CancelCheckInterval});
        stream.wake.wait_until(lock, next, [&stream] {
            return stream.end.has_value();
        });
    }
    return *stream.end;
}

Result<StreamSource::ReadResult> StreamReaderPool::run(StreamSource &source, TimePoint deadline, Duration gap)
{
    assertNoLockHeld("a stream is awaited");
    const Ref<Stream> stream = makeRef<Stream>(source);
    std::uint64_t id = 0;
    {
        const Lock lock(m_mutex);
        id = ++m_lastId;
        m_streams[id] = stream;
    }
    const int epoll = m_epolls[id % m_epolls.size()];
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP; // level-triggered: bytes that are there already count
    event.data.u64 = id;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, source.descriptor(), &event);
    auto end = awaitEnd(*stream, deadline, gap);
    ::epoll_ctl(epoll, EPOLL_CTL_DEL, source.descriptor(), nullptr);
    const Lock lock(m_mutex);
    m_streams.erase(id);
    return end;
}

} // namespace vanillanotch
