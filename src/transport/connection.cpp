// FrontConnection: what is counted for a caller's connection.
#include "transport/front.h"

#include <sys/socket.h>

namespace vanillanotch
{

namespace
{
// Progress is counted in steps of so many bytes, so that a caller can't keep memory by sending or taking a byte now and then: one that is slower than
// 64 KB/s may be closed when memory is short. A request or reply of fewer bytes counts from its beginning.
constexpr std::size_t ProgressBytes = 16 * 1024;
} // namespace

bool FrontConnection::hold(std::size_t readerBytes)
{
    return server.hold(*this, readerBytes + io.received().capacity());
}

bool FrontConnection::holdForHandler(std::size_t bytes)
{
    if (!server.hold(*this, requestBytes + io.received().capacity() + bytes)) {
        return false;
    }
    handlerBytes = bytes;
    return true;
}

bool FrontConnection::hasArrivedBytes() const
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
}

void FrontConnection::recordProgress(std::size_t bytes, TimePoint now)
{
    movedBytes += bytes;
    if (movedBytes >= ProgressBytes) {
        movedBytes = 0;
        movedAt = now;
    }
}

} // namespace vanillanotch
