// Streamed replies; private to the http library.
//
// A stream sends a little now and then. Waking a thread for each piece costs more than reading it, so a few pump workers
// read all streams of a node, each wake-up as many as are ready. The thread that made the call waits for the end.
#pragma once

#include "http/http.h"

#include <string>

namespace vanillanotch
{

// Takes an HTTP/1.1 message body apart into lines. Chunked coding as of RFC 9112, section 7.1, or until the connection ends.
class EventLineDecoder
{
public:
    EventLineDecoder(bool chunked, std::size_t lineLimit)
        : m_chunked(chunked)
        , m_lineLimit(lineLimit)
    {
    }
    // Passes whole lines on, without their ends; empty ones are left out. CallerGone: the waiter cancelled.
    // InvalidReply: no proper coding, or a line past the limit.
    Result<void> feed(std::string_view bytes, HttpReplyListener &waiter);
    bool complete() const // the last chunk is here
    {
        return m_state == State::Done;
    }
    bool chunked() const
    {
        return m_chunked;
    }

private:
    enum class State { Size, Data, DataEnd, Trailer, Done };
    Result<void> takeSizeLine(std::string_view &bytes);
    Result<void> takeData(std::string_view bytes, HttpReplyListener &waiter);
    void takeTrailer(std::string_view &bytes);

    bool m_chunked;
    std::size_t m_lineLimit; // bytes
    State m_state = State::Size;
    std::string m_sizeLine;
    std::string m_trailerLine;
    std::size_t m_chunkLeft = 0;
    std::string m_line;
};

// One streamed reply as the pump sees it.
class StreamSource
{
public:
    enum class ReadResult {
        More, // wait for further bytes
        Ended, // whole or failed
        SlowCaller, // the caller takes nothing: leave it to the thread that made the call
    };
    virtual ~StreamSource() = default;
    virtual int descriptor() = 0;
    virtual ReadResult read() = 0; // reads what is there without waiting, and passes it on
    virtual bool cancelled() = 0;
};

class StreamReaderPool
{
public:
    explicit StreamReaderPool(std::size_t workers);
    ~StreamReaderPool(); // no stream may be running
    StreamReaderPool(const StreamReaderPool &) = delete;
    StreamReaderPool &operator=(const StreamReaderPool &) = delete;

    // Returns at the stream's end with Ended or SlowCaller. Errors: ServerTimeout (nothing came for `gap`),
    // DeadlineExceeded, CallerGone.
    Result<StreamSource::ReadResult> run(StreamSource &source, TimePoint deadline, Duration gap);

private:
    struct Stream : RefCounted<Stream> {
        explicit Stream(StreamSource &streamSource)
            : source(streamSource)
        {
        }
        StreamSource &source;
        RankedMutex mutex{LockRank::Leaf};
        std::condition_variable_any wake;
        bool reading = false; // a pump worker is inside source.read()
        bool detached = false; // the waiting thread has given up
        std::optional<StreamSource::ReadResult> end;
        TimePoint lastBytes = std::chrono::steady_clock::now();
    };
    void pump(int epoll);
    void readStream(std::uint64_t id);
    Result<StreamSource::ReadResult> awaitEnd(Stream &stream, TimePoint deadline, Duration gap);

    std::vector<int> m_epolls; // one for each worker
    int m_stop = -1; // eventfd
    RankedMutex m_mutex{LockRank::Connections};
    std::uint64_t m_lastId = 0; // 0 is the stop event
    std::map<std::uint64_t, Ref<Stream>> m_streams;
    std::vector<std::thread> m_threads;
};

} // namespace vanillanotch
