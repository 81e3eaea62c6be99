// Compression of large replies between nodes: the deflate coding of HTTP (RFC 9110, section 8.4.1.2), which is the zlib format.
#include "peerhttp/peer_call.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>

#include <sstream>

namespace vanillanotch
{

namespace
{
constexpr int FastestLevel = 1; // of zlib: small VMs compress for links that are slow, but not that slow
constexpr std::size_t BlockBytes = 64 * 1024;
} // namespace

std::string deflated(const std::string &text)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB, FastestLevel);
    deflater << text;
    deflater.close();
    return out.str();
}

Result<std::string> inflated(const std::string &compressed, std::size_t limit)
{
    std::istringstream in(compressed);
    Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::string block(BlockBytes, '\0');
    while (inflater.read(block.data(), static_cast<std::streamsize>(block.size())) || inflater.gcount() > 0) {
        text.append(block, 0, static_cast<std::size_t>(inflater.gcount()));
        if (text.size() > limit) {
            return fail(ErrorCode::InvalidReply, "longer than its limit when decompressed");
        }
    }
    // POCO's stream ends at the end of the data, and fails where it can't be decompressed.
    if (inflater.bad()) {
        return fail(ErrorCode::InvalidReply, "not in the deflate coding");
    }
    return text;
}

} // namespace vanillanotch
