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
constexpr std::size_t MaxSizeLineBytes = 256; // longest size line of a chunk, bytes, extensions included
constexpr std::size_t MaxTrailerBytes = 8 * 1024; // longest trailer section, bytes
constexpr Duration CancelCheckInterval = std::chrono::seconds(1); // time between two checks whether a StreamSource is cancelled

// Moves bytes up to the next line end from `bytes` to the end of `line`. True: the line is complete; its line end has been removed
// from `bytes` and is not part of `line`.
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
    if (m_sizeLine.size() > MaxSizeLineBytes) {
        return fail(ErrorCode::InvalidReply, "the size line of a chunk is too long");
    }
    if (!whole) {
        return {};
    }
    const char *begin = m_sizeLine.data();
    const auto [end, error] = std::from_chars(begin, begin + m_sizeLine.size(), m_left, 16);
    if (error != std::errc() || end == begin) {
        return fail(ErrorCode::InvalidReply, "a chunk has no size");
    }
    m_sizeLine.clear();
    m_state = m_left == 0 ? State::Trailer : State::Data;
    return {};
}

Result<void> EventLineDecoder::takeTrailer(std::string_view &bytes)
{
    const std::size_t before = bytes.size();
    const bool whole = takeLine(bytes, m_trailerLine);
    m_trailerBytes += before - bytes.size();
    if (m_trailerBytes > MaxTrailerBytes) {
        return fail(ErrorCode::InvalidReply, "the trailers of the reply are longer than the limit");
    }
    if (whole) {
        m_state = m_trailerLine.empty() ? State::Done : State::Trailer;
        m_trailerLine.clear();
    }
    return {};
}

// Takes the line end after the data of a chunk.
Result<void> EventLineDecoder::takeDataEnd(std::string_view &bytes)
{
    const char byte = bytes.front();
    bytes.remove_prefix(1);
    if (byte != '\r' && byte != '\n') {
        return fail(ErrorCode::InvalidReply, "a chunk is longer than its size");
    }
    m_state = byte == '\n' ? State::Size : State::DataEnd;
    return {};
}

Result<void> EventLineDecoder::takeData(std::string_view bytes, HttpReplyListener &listener)
{
    while (!bytes.empty()) {
        const bool whole = takeLine(bytes, m_line);
        if (m_line.size() > m_lineLimit) {
            return fail(ErrorCode::InvalidReply, "a line of the reply is longer than the limit");
        }
        if (whole) {
            if (!m_line.empty() && !listener.onLine(m_line)) {
                return fail(ErrorCode::CallerDisconnected);
            }
            m_line.clear();
        }
    }
    return {};
}

Result<void> EventLineDecoder::feed(std::string_view bytes, HttpReplyListener &listener)
{
    if (endsWithConnection()) {
        return takeData(bytes, listener);
    }
    while (!bytes.empty() && m_state != State::Done) {
        switch (m_state) {
        case State::Size:
            if (auto taken = takeSizeLine(bytes); !taken) {
                return taken;
            }
            break;
        case State::Data: {
            const std::string_view part = bytes.substr(0, m_left);
            bytes.remove_prefix(part.size());
            m_left -= part.size();
            if (auto taken = takeData(part, listener); !taken) {
                return taken;
            }
            if (m_left == 0) {
                m_state = m_framing.kind == BodyKind::Chunked ? State::DataEnd : State::Done;
            }
            break;
        }
        case State::DataEnd:
            if (auto taken = takeDataEnd(bytes); !taken) {
                return taken;
            }
            break;
        case State::Trailer:
            if (auto taken = takeTrailer(bytes); !taken) {
                return taken;
            }
            break;
        case State::Done:
            break;
        }
    }
    m_surplus = m_surplus || !bytes.empty();
    return {};
}

//-----------------------------------------------------------------------------
// StreamReaderPool
//-----------------------------------------------------------------------------

StreamReaderPool::StreamReaderPool(std::size_t workers)
    : m_stopEvent(::eventfd(0, EFD_CLOEXEC))
{
    for (std::size_t i = 0; i < workers; ++i) {
        const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = 0;
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, m_stopEvent, &event);
        m_epolls.push_back(epoll);
        m_threads.emplace_back([this, epoll] {
            runWorker(epoll);
        });
    }
}

StreamReaderPool::~StreamReaderPool()
{
    ::eventfd_write(m_stopEvent, 1);
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (const int epoll : m_epolls) {
        ::close(epoll);
    }
    ::close(m_stopEvent);
}

void StreamReaderPool::runWorker(int epoll)
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
            return; // the stream was removed after epoll had reported bytes for it: nothing is read
        }
        stream = found->second;
    }
    {
        const Lock lock(stream->mutex);
        if (stream->abandoned || stream->end) {
            return;
        }
        stream->reading = true;
    }
    const auto before = stream->source.delivered();
    const StreamSource::ReadResult result = stream->source.read();
    const bool progress = !before || stream->source.delivered() > before;
    const Lock lock(stream->mutex);
    stream->reading = false;
    if (progress) {
        stream->lastProgressAt = std::chrono::steady_clock::now();
    }
    if (result != StreamSource::ReadResult::More) {
        stream->end = result;
    }
    if (stream->end || stream->abandoned) {
        stream->changed.notify_all();
    }
}

Result<StreamSource::ReadResult> StreamReaderPool::awaitEnd(Stream &stream, TimePoint deadline, Duration gapTimeout)
{
    Lock lock(stream.mutex);
    while (!stream.end) {
        const TimePoint now = std::chrono::steady_clock::now();
        const bool deadlinePassed = now >= deadline;
        const bool silent = now - stream.lastProgressAt >= gapTimeout;
        lock.unlock();
        const bool isCancelled = !deadlinePassed && !silent && stream.source.cancelled();
        lock.lock();
        if (deadlinePassed || silent || isCancelled) {
            stream.abandoned = true;
            stream.changed.wait(lock, [&stream] {
                return !stream.reading;
            });
            if (stream.end) { // a worker that was reading in the meantime reached the end of the stream, so its result is returned instead of an error
                break;
            }
            if (deadlinePassed) {
                return fail(ErrorCode::DeadlineExceeded, "the deadline passed while the reply was streamed");
            }
            return isCancelled ? fail(ErrorCode::CallerDisconnected) : fail(ErrorCode::ServerTimeout, "the stream went silent");
        }
        const TimePoint next = std::min({deadline, stream.lastProgressAt + gapTimeout, now + CancelCheckInterval});
        stream.changed.wait_until(lock, next, [&stream] {
            return stream.end.has_value();
        });
    }
    return *stream.end;
}

Result<StreamSource::ReadResult> StreamReaderPool::run(StreamSource &source, TimePoint deadline, Duration gapTimeout)
{
    assertNoLockHeld("a thread waits for a stream while it holds a lock");
    const Ref<Stream> stream = makeRef<Stream>(source);
    std::uint64_t id = 0;
    {
        const Lock lock(m_mutex);
        id = ++m_lastId;
        m_streams[id] = stream;
    }
    const int epoll = m_epolls[id % m_epolls.size()];
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP; // level-triggered, so bytes that came before the descriptor was registered are reported as well
    event.data.u64 = id;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, source.descriptor(), &event);
    auto end = awaitEnd(*stream, deadline, gapTimeout);
    ::epoll_ctl(epoll, EPOLL_CTL_DEL, source.descriptor(), nullptr);
    const Lock lock(m_mutex);
    m_streams.erase(id);
    return end;
}

} // namespace vanillanotch
