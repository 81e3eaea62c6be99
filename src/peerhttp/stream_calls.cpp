// At which software version a stream goes on: calls to other nodes, from one that doesn't reach the platform's store.
#include "peerhttp/peer_call.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

class HttpStreamPeerChannel final : public StreamPeerChannel
{
public:
    explicit HttpStreamPeerChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    Result<std::string> versionOf(const std::string &peerAddress, const StreamTakeUp &takeUp, Duration timeout) override
    {
        try {
            // Throws for an id that isn't UTF-8: with its bytes replaced it would be that of another stream, of which there is no record.
            const std::string body = Json{{"service", takeUp.service}, {"stream", takeUp.stream}}.dump();
            const auto reply = askPeer(m_settings, peerAddress, StreamVersionsPath, body, ReplyLimits::within(timeout));
            if (!reply) {
                return tl::unexpected(reply.error());
            }
            const Json json = Json::parse(reply->body);
            if (json.contains("version")) {
                return json.at("version").get<std::string>();
            }
            const auto code = static_cast<ErrorCode>(json.at("error").get<int>());
            return fail(code == ErrorCode::StreamUnknown || code == ErrorCode::StreamUnread ? code : ErrorCode::PeerUnavailable);
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PeerUnavailable, exception.what());
        }
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

std::unique_ptr<StreamPeerChannel> makeStreamPeerChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpStreamPeerChannel>(settings);
}

void PeerHandler::serveStreamVersion(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    std::string body;
    try {
        const Json json = Json::parse(exchange.body());
        const StreamTakeUp takeUp{json.at("service").get<std::string>(), json.at("stream").get<std::string>()};
        const auto version = m_streams.versionForPeer(takeUp);
        body = version ? Json{{"version", *version}}.dump(-1, ' ', false, Json::error_handler_t::replace) : describeError(version.error().code);
    } catch (const Json::exception &) {
        logEvent(LogLevel::Warning, "peer.question_unreadable", {{"error", ErrorCode::MalformedRequest}});
        body = describeError(ErrorCode::MalformedRequest);
    }
    (void)exchange.reply(200, headers, body, std::chrono::steady_clock::now() + PeerReplyTimeout);
}

} // namespace vanillanotch
