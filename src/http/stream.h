// Reading of streamed replies (server-sent events); private to the http library.
//
// A stream sends a few bytes now and then, and waking a thread costs more than reading them. So a few worker threads read all streams
// of one HttpClient, and at each wake-up a worker reads all of its streams that are ready. The thread that made the call waits for the end of
// its stream.
#pragma once

#include "http/http.h"
#include "transport/messages.h"

#include <string>

namespace vanillanotch
{

// Splits the body of an HTTP/1.1 reply into lines. The body has the chunked coding of RFC 9112, section 7.1, or a length, or lasts until
// the connection ends. `lineLimit`: longest line, bytes.
class EventLineDecoder
{
public:
    EventLineDecoder(const BodyFraming &framing, std::size_t lineLimit)
        : m_framing(framing)
        , m_lineLimit(lineLimit)
        , m_state(framing.kind == BodyKind::None          ? State::Done
                      : framing.kind == BodyKind::Chunked ? State::Size
                                                          : State::Data)
        , m_left(framing.length)
    {
    }
    // Passes whole lines to the listener, without their line ends; empty ones are left out. Errors: CallerDisconnected (the listener
    // cancelled), InvalidReply (invalid chunked coding, or a line longer than `lineLimit`).
    Result<void> feed(std::string_view bytes, HttpReplyListener &listener);
    bool complete() const // the last chunk and the trailers, or the whole length, have been read; never true for a body that lasts until the connection ends
    {
        return m_state == State::Done;
    }
    bool hasSurplus() const // further bytes came after the end of the body
    {
        return m_surplus;
    }
    bool endsWithConnection() const
    {
        return m_framing.kind == BodyKind::UntilClose;
    }

private:
    enum class State { Size, Data, DataEnd, Trailer, Done };
    Result<void> takeSizeLine(std::string_view &bytes);
    Result<void> takeData(std::string_view bytes, HttpReplyListener &listener);
    Result<void> takeDataEnd(std::string_view &bytes);
    Result<void> takeTrailer(std::string_view &bytes);

    const BodyFraming m_framing;
    bool m_surplus = false;
    std::size_t m_lineLimit; // bytes
    State m_state;
    std::string m_sizeLine;
    std::string m_trailerLine;
    std::size_t m_trailerBytes = 0;
    std::size_t m_left; // bytes of the current chunk, or of the body with a length, that are still to come
    std::string m_line;
};

// One streamed reply as a StreamReaderPool reads it.
class StreamSource
{
public:
    enum class ReadResult {
        More, // the reply goes on: wait for further bytes
        Ended, // the reply is complete or failed
        SlowCaller, // the caller to whom the reply is passed on accepts no bytes at the moment: the thread that made the call must read the rest
    };
    virtual ~StreamSource() = default;
    virtual int descriptor() = 0;
    virtual ReadResult read() = 0; // reads the bytes that are available, without waiting, and passes them on
    virtual std::optional<std::size_t> delivered() const = 0; // see HttpReplyListener::delivered()
    virtual bool cancelled() = 0; // true: the call was cancelled, so the reply need not be read any further
};

// Worker threads that read streamed replies. Each stream is read by one of them.
class StreamReaderPool
{
public:
    explicit StreamReaderPool(std::size_t workers);
    ~StreamReaderPool(); // no call of run() may be in progress
    StreamReaderPool(const StreamReaderPool &) = delete;
    StreamReaderPool &operator=(const StreamReaderPool &) = delete;

    // Has a worker read the stream, and waits until the stream has ended (returns Ended) or a read returned SlowCaller (returns it as well). Errors:
    // ServerTimeout (nothing useful came for `gapTimeout`), DeadlineExceeded, CallerDisconnected (the source was cancelled).
    Result<StreamSource::ReadResult> run(StreamSource &source, TimePoint deadline, Duration gapTimeout);

private:
    struct Stream : RefCounted<Stream> {
        explicit Stream(StreamSource &streamSource)
            : source(streamSource)
        {
        }
        StreamSource &source;
        RankedMutex mutex{LockRank::Leaf};
        std::condition_variable_any changed;
        bool reading = false; // a worker is inside source.read()
        bool abandoned = false; // the thread that made the call no longer waits: workers must not read any more
        std::optional<StreamSource::ReadResult> end; // nullopt: still being read
        TimePoint lastProgressAt = std::chrono::steady_clock::now(); // initially the time at which the wait began
    };
    void runWorker(int epoll);
    void readStream(std::uint64_t id);
    Result<StreamSource::ReadResult> awaitEnd(Stream &stream, TimePoint deadline, Duration gapTimeout);

    std::vector<int> m_epolls; // descriptors; one for each worker
    int m_stopEvent = -1; // eventfd that ends all workers
    RankedMutex m_mutex{LockRank::Connections};
    std::uint64_t m_lastId = 0; // of a stream; id 0 stands for the stop event
    std::map<std::uint64_t, Ref<Stream>> m_streams; // by id
    std::vector<std::thread> m_threads;
};

} // namespace vanillanotch
