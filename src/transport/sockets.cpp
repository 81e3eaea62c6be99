#include "transport/transport.h"

#include <Poco/Net/NetException.h>

#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace vanillanotch
{

Connection::Connection(const Poco::Net::StreamSocket &socket)
    : m_socket(socket)
    , m_descriptor(static_cast<int>(socket.impl()->sockfd()))
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
}

Connection::~Connection()
{
    close();
}

IoState Connection::receive()
{
    std::array<char, ReceiveBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
        return IoState::Progress;
    }
    if (count == 0) {
        return failed() ? IoState::Reset : IoState::Closed;
    }
    return stateAfterError();
}

IoState Connection::send(std::string_view &data)
{
    const ssize_t count = ::send(m_descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
        data.remove_prefix(static_cast<std::size_t>(count));
        return IoState::Progress;
    }
    return stateAfterError();
}

IoState Connection::stateAfterError()
{
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        return IoState::WouldBlock;
    }
    m_failed = true;
    return IoState::Reset;
}

bool Connection::failed()
{
    int error = 0;
    socklen_t size = sizeof error;
    m_failed = m_failed || (::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0);
    return m_failed;
}

IoState Connection::send(MessageParts &parts)
{
    std::array<iovec, std::tuple_size_v<MessageParts>> buffers{};
    msghdr message{};
    message.msg_iov = buffers.data();
    for (const std::string_view part : parts) {
        if (!part.empty()) {
            buffers.at(message.msg_iovlen++) = iovec{const_cast<char *>(part.data()), part.size()}; // sendmsg() doesn't write to it
        }
    }
    const ssize_t count = ::sendmsg(m_descriptor, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) {
        return stateAfterError();
    }
    auto left = static_cast<std::size_t>(count);
    for (std::string_view &part : parts) {
        const std::size_t sent = std::min(left, part.size());
        part.remove_prefix(sent);
        left -= sent;
    }
    return IoState::Progress;
}

bool Connection::acknowledged() const
{
    int bytes = 0;
    return ::ioctl(m_descriptor, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

void Connection::resetOnClose()
{
    if (m_descriptor >= 0) {
        const linger reset{1, 0};
        (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
}

void Connection::close()
{
    if (m_descriptor >= 0) {
        m_descriptor = -1;
        m_socket.close();
    }
}

WakeupSignal::WakeupSignal()
    : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

WakeupSignal::~WakeupSignal()
{
    ::close(m_descriptor);
}

void WakeupSignal::raise()
{
    const std::uint64_t one = 1;
    if (::write(m_descriptor, &one, sizeof one) < 0 && errno != EAGAIN) {
        logEvent(LogLevel::Error, "signal.raise_failed", {{"errno", errno}});
    }
}

void WakeupSignal::clear()
{
    std::uint64_t count = 0;
    if (::read(m_descriptor, &count, sizeof count) < 0 && errno != EAGAIN) {
        logEvent(LogLevel::Error, "signal.clear_failed", {{"errno", errno}});
    }
}

void NeverCancelled::preparePoll(pollfd &entry) const
{
    entry.fd = -1;
}

PollTime pollTimeout(TimePoint until)
{
    const auto left = until - std::chrono::steady_clock::now();
    return left <= Duration::zero() ? PollTime::zero() : std::chrono::duration_cast<PollTime>(left) + PollTime(1);
}

Result<void> awaitSignal(WakeupSignal &signal, CancellationWatch &cancellation, TimePoint until)
{
    assertNoLockHeld("awaitSignal");
    for (;;) {
        const auto left = until - std::chrono::steady_clock::now();
        if (left <= Duration::zero()) {
            return fail(ErrorCode::DeadlineExceeded);
        }
        std::array<pollfd, 2> entries{};
        entries[0].fd = signal.descriptor();
        entries[0].events = POLLIN;
        cancellation.preparePoll(entries[1]);
        (void)::poll(entries.data(), entries.size(), pollTimeout(until).count());
        cancellation.checkPoll(entries[1]);
        if (cancellation.cancelled()) {
            return fail(ErrorCode::CallerDisconnected);
        }
        if ((entries[0].revents & POLLIN) != 0) {
            signal.clear();
            return {};
        }
    }
}

} // namespace vanillanotch
