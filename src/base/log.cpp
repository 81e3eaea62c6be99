#include "base/base.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <cstdio>
#include <iostream>

#include <poll.h>
#include <unistd.h>

namespace vanillanotch
{

namespace
{
std::string &nodeName()
{
    static std::string name;
    return name;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || byte >= 0x7f || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

std::string formatField(std::string_view key, std::string_view value)
{
    std::string text(key);
    text += '=';
    text += escapeLogValue(value);
    return text;
}
} // namespace

std::string escapeLogValue(std::string_view value)
{
    if (!needsQuotes(value)) {
        return std::string(value);
    }
    std::string out = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < ' ' || byte >= 0x7f) {
            std::array<char, 5> code{};
            std::snprintf(code.data(), code.size(), "\\x%02x", byte);
            out += code.data();
        } else {
            out += c;
        }
    }
    out += '"';
    return out;
}

LogField::LogField(std::string_view key, std::string_view value)
    : m_text(formatField(key, value))
{
}

LogField::LogField(std::string_view key, const char *value)
    : m_text(formatField(key, value))
{
}

LogField::LogField(std::string_view key, const std::string &value)
    : m_text(formatField(key, value))
{
}

LogField::LogField(std::string_view key, std::int64_t value)
    : m_text(formatField(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, std::uint64_t value)
    : m_text(formatField(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, int value)
    : m_text(formatField(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, unsigned value)
    : m_text(formatField(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, double value)
    : m_text(formatField(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, ErrorCode value)
    : m_text(formatField(key, std::to_string(static_cast<int>(value))))
{
}

LogField::LogField(std::string_view key, Duration value)
    : m_text(formatField(key, std::to_string(std::chrono::duration<double, std::milli>(value).count())))
{
}

void initLog(LogLevel minimumLevel, const std::string &node)
{
    nodeName() = node;
    boost::log::add_console_log(std::clog, boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= minimumLevel);
}

//-----------------------------------------------------------------------------
// BufferedLog
//-----------------------------------------------------------------------------

namespace
{
// Lines that arrive within this time after the first one are written together, so that the writing thread wakes up only once for them.
constexpr Duration FlushInterval = std::chrono::milliseconds(250);
constexpr int PollTimeoutMs = 1000; // time that poll() waits for standard output to accept data; then write() is tried in any case

// Sink that collects lines in memory; its own thread writes them to standard output.
class LineBuffer : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding>
{
public:
    LineBuffer()
        : m_thread([this] {
            run();
        })
    {
    }
    ~LineBuffer()
    {
        {
            const std::unique_lock<std::mutex> lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_all();
        m_thread.join();
    }
    void consume(const boost::log::record_view & /*record*/, const string_type &line)
    {
        bool first = false;
        {
            const std::unique_lock<std::mutex> lock(m_mutex);
            if (m_lines.size() + line.size() > BufferedLog::BufferBytes) {
                ++m_dropped;
                return;
            }
            first = m_lines.empty();
            m_lines += line;
            m_lines += '\n';
        }
        if (first) {
            m_wake.notify_one();
        }
    }
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopping) {
            m_wake.wait(lock, [this] {
                return m_stopping || !m_lines.empty();
            });
            m_wake.wait_for(lock, FlushInterval, [this] {
                return m_stopping;
            });
            std::string lines = std::move(m_lines);
            m_lines.clear();
            lock.unlock();
            write(lines);
            lock.lock();
        }
        write(m_lines);
    }
    static void write(std::string_view lines)
    {
        while (!lines.empty()) {
            pollfd entry{STDOUT_FILENO, POLLOUT, 0};
            (void)::poll(&entry, 1, PollTimeoutMs);
            const ssize_t count = ::write(STDOUT_FILENO, lines.data(), lines.size());
            if (count < 0 && errno != EAGAIN && errno != EINTR) {
                return; // standard output is closed or broken: the lines are lost, and there is no other place to report it
            }
            lines.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
        }
    }

    std::mutex m_mutex; // not a RankedMutex: logging is allowed under any lock, and no other lock is taken while this one is held
    std::condition_variable m_wake;
    std::string m_lines; // collected and not yet written; each ends with a line feed
    std::atomic<std::uint64_t> m_dropped{0}; // lines discarded because the buffer was full
    bool m_stopping = false;
    std::thread m_thread; // the last member: the thread starts in the constructor and uses the others
};
} // namespace

struct BufferedLog::Sink {
    boost::shared_ptr<LineBuffer> backend = boost::make_shared<LineBuffer>();
    boost::shared_ptr<boost::log::sinks::unlocked_sink<LineBuffer>> frontend = boost::make_shared<boost::log::sinks::unlocked_sink<LineBuffer>>(backend);
};

BufferedLog::BufferedLog(LogLevel minimumLevel, const std::string &node)
    : m_sink(std::make_unique<Sink>())
{
    nodeName() = node;
    m_sink->frontend->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(m_sink->frontend);
    boost::log::core::get()->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= minimumLevel);
}

BufferedLog::~BufferedLog()
{
    boost::log::core::get()->remove_sink(m_sink->frontend);
}

std::uint64_t BufferedLog::droppedLines() const
{
    return m_sink->backend->dropped();
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    if (auto record = logger.open_record(boost::log::keywords::severity = level)) {
        boost::log::record_ostream out(record);
        out << "time=" << formatWallTime(std::chrono::system_clock::now()) << " level=" << levelName(level) << " node=" << escapeLogValue(nodeName())
            << " event=" << event;
        for (const LogField &field : fields) {
            out << ' ' << field.m_text;
        }
        out.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace vanillanotch
