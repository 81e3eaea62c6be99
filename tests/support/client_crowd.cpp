#include "client_crowd.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillanotch::test
{

namespace
{
constexpr int ReceiveBufferBytes = 4096; // of each connection's socket
constexpr std::size_t BytesPerRound = 256 * 1024; // most bytes that one connection sends in a round, so that all of them get on
constexpr std::size_t ReplyBeginBytes = 12; // "HTTP/1.1 200"
constexpr std::chrono::milliseconds RoundPause{20}; // longest wait of a round in which no connection can send or receive
constexpr std::size_t KibiByte = 1024;

// The value in bytes of a field of /proc/PID/status that is stated in kB; 0: there is none.
std::size_t statusField(pid_t process, const std::string &name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind(name + ":", 0) == 0) {
            return static_cast<std::size_t>(std::stoull(line.substr(name.size() + 1))) * KibiByte;
        }
    }
    return 0;
}

// The part of the message that begins at `offset`, as far as it is contiguous. Empty: the message ends there.
std::string_view messagePart(const CrowdMessage &message, std::size_t offset)
{
    if (offset < message.begin.size()) {
        return std::string_view(message.begin).substr(offset);
    }
    offset -= message.begin.size();
    const std::size_t units = message.unit.size() * message.repeats;
    if (offset < units) {
        return std::string_view(message.unit).substr(offset % message.unit.size());
    }
    return std::string_view(message.end).substr(std::min(offset - units, message.end.size()));
}
} // namespace

std::string encodeChunk(std::size_t size)
{
    std::ostringstream out;
    out << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return out.str();
}

ClientCrowd::ClientCrowd(std::string address)
    : m_address(std::move(address))
{
}

ClientCrowd::~ClientCrowd()
{
    disconnect();
}

std::size_t ClientCrowd::open(std::size_t count, const CrowdMessage &message, CrowdReading reading)
{
    const Poco::Net::SocketAddress address(m_address);
    m_messages.push_back(message);
    std::size_t opened = 0;
    for (std::size_t i = 0; i < count; ++i) {
        Caller caller;
        caller.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        caller.message = m_messages.size() - 1;
        caller.reading = reading;
        (void)::setsockopt(caller.descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
        const int connected = ::connect(caller.descriptor, address.addr(), address.length());
        if (connected != 0 && errno != EINPROGRESS) {
            close(caller);
            continue;
        }
        ++opened;
        m_callers.push_back(std::move(caller));
    }
    return opened;
}

void ClientCrowd::exchange(Duration limit, Duration pause)
{
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    TimePoint lastProgress = std::chrono::steady_clock::now();
    while (hasUnsent()) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= end || now - lastProgress >= pause) {
            return;
        }
        if (serveOnce()) {
            lastProgress = now;
        }
    }
}

void ClientCrowd::readFor(Duration time)
{
    const TimePoint end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end && connected() > 0) {
        if (!serveOnce()) {
            (void)::poll(nullptr, 0, static_cast<int>(RoundPause.count()));
        }
    }
}

bool ClientCrowd::hasUnsent() const
{
    return std::any_of(m_callers.begin(), m_callers.end(), [this](const Caller &caller) {
        return caller.descriptor >= 0 && caller.sent < m_messages[caller.message].size();
    });
}

bool ClientCrowd::serveOnce()
{
    std::vector<pollfd> entries;
    std::vector<Caller *> polled;
    for (Caller &caller : m_callers) {
        if (caller.descriptor >= 0) {
            const bool sends = caller.sent < m_messages[caller.message].size();
            const int events = (sends ? POLLOUT : 0) | (caller.reading == CrowdReading::Nothing ? 0 : POLLIN);
            entries.push_back(pollfd{caller.descriptor, static_cast<short>(events), 0});
            polled.push_back(&caller);
        }
    }
    (void)::poll(entries.data(), entries.size(), static_cast<int>(RoundPause.count()));
    bool progress = false;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const short events = entries[i].revents;
        progress = ((events & POLLOUT) != 0 && send(*polled[i])) || progress;
        if ((events & POLLIN) != 0 && polled[i]->descriptor >= 0) {
            progress = receive(*polled[i]) || progress;
        }
        if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0 && (events & POLLIN) == 0) {
            close(*polled[i]);
            progress = true;
        }
    }
    return progress;
}

bool ClientCrowd::send(Caller &caller)
{
    const CrowdMessage &message = m_messages[caller.message];
    std::size_t sent = 0;
    while (sent < BytesPerRound && caller.sent < message.size()) {
        const std::string_view part = messagePart(message, caller.sent);
        const ssize_t count = ::send(caller.descriptor, part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                break;
            }
            // A server that refuses closes the connection before it has read everything. Its reply may still be readable.
            if (caller.reading != CrowdReading::Nothing) {
                (void)receive(caller);
            }
            close(caller);
            return true;
        }
        caller.sent += static_cast<std::size_t>(count);
        sent += static_cast<std::size_t>(count);
    }
    return sent > 0;
}

bool ClientCrowd::receive(Caller &caller)
{
    std::array<char, ReceiveBufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const std::size_t wanted = caller.reading == CrowdReading::Slowly ? 1 : buffer.size();
    const ssize_t count = ::recv(caller.descriptor, buffer.data(), wanted, MSG_DONTWAIT);
    if (count > 0) {
        const std::size_t missing = ReplyBeginBytes - std::min(ReplyBeginBytes, caller.replyBegin.size());
        caller.replyBegin.append(buffer.data(), std::min(missing, static_cast<std::size_t>(count)));
        return true;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return false;
    }
    close(caller);
    return true;
}

void ClientCrowd::close(Caller &caller)
{
    if (caller.descriptor >= 0) {
        ::close(caller.descriptor);
        caller.descriptor = -1;
    }
}

void ClientCrowd::disconnect()
{
    for (Caller &caller : m_callers) {
        close(caller);
    }
}

std::size_t ClientCrowd::connected() const
{
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [](const Caller &caller) {
        return caller.descriptor >= 0;
    }));
}

std::size_t ClientCrowd::sentWhole() const
{
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [this](const Caller &caller) {
        return caller.sent == m_messages[caller.message].size();
    }));
}

std::size_t ClientCrowd::answered(int status) const
{
    const std::string begin = "HTTP/1.1 " + std::to_string(status);
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [&](const Caller &caller) {
        return caller.replyBegin == begin;
    }));
}

std::size_t residentBytes(pid_t process)
{
    return statusField(process, "VmRSS");
}

std::size_t peakResidentBytes(pid_t process)
{
    return statusField(process, "VmHWM");
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(process) + "/fd", error), end; !error && it != end; it.increment(error)) {
        ++count;
    }
    return count;
}

} // namespace vanillanotch::test
