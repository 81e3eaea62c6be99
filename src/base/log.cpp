#include "base/base.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <cstdio>
#include <iostream>

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

std::string pair(std::string_view key, std::string_view value)
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
    : m_text(pair(key, value))
{
}

LogField::LogField(std::string_view key, const char *value)
    : m_text(pair(key, value))
{
}

LogField::LogField(std::string_view key, const std::string &value)
    : m_text(pair(key, value))
{
}

LogField::LogField(std::string_view key, std::int64_t value)
    : m_text(pair(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, std::uint64_t value)
    : m_text(pair(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, int value)
    : m_text(pair(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, unsigned value)
    : m_text(pair(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, double value)
    : m_text(pair(key, std::to_string(value)))
{
}

LogField::LogField(std::string_view key, ErrorCode value)
    : m_text(pair(key, std::to_string(static_cast<int>(value))))
{
}

LogField::LogField(std::string_view key, Duration value)
    : m_text(pair(key, std::to_string(std::chrono::duration<double, std::milli>(value).count())))
{
}

void initLog(LogLevel least, const std::string &node)
{
    nodeName() = node;
    boost::log::add_console_log(std::clog, boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >= least);
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
