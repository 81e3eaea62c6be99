// The configuration in force at another node: call and reply.
#include "peerhttp/peer_call.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

class HttpDeploymentPeerChannel final : public DeploymentPeerChannel
{
public:
    explicit HttpDeploymentPeerChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    Result<std::optional<std::string>> documentNewerThan(const std::string &peerAddress, std::uint64_t version, const ReplyLimits &limits) override
    {
        const auto reply = askPeer(m_settings, peerAddress, ConfigurationPath, Json{{"newer_than", version}}.dump(), limits);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        try {
            const Json json = Json::parse(reply->body);
            if (json.contains("error")) {
                return fail(ErrorCode::PeerUnavailable);
            }
            return json.contains("document") ? std::optional(json.at("document").get<std::string>()) : std::nullopt;
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PeerUnavailable, exception.what());
        }
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

std::unique_ptr<DeploymentPeerChannel> makeDeploymentPeerChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpDeploymentPeerChannel>(settings);
}

void PeerHandler::serveConfiguration(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    std::string body;
    try {
        const Json json = Json::parse(exchange.body());
        const auto document = m_deployments.documentNewerThan(json.at("newer_than").get<std::uint64_t>());
        body = document ? Json{{"document", *document}}.dump() : "{}";
        if (document && exchange.head().headers.listContains("Accept-Encoding", "deflate")) {
            headers.add("Content-Encoding", "deflate");
            body = deflated(body);
        }
    } catch (const Json::exception &) { // also for a document that isn't UTF-8
        logEvent(LogLevel::Warning, "peer.question_unreadable", {{"error", ErrorCode::MalformedRequest}});
        body = describeError(ErrorCode::MalformedRequest);
    }
    (void)exchange.replySlowly(200, headers, std::move(body), PeerReplyTimeout, std::chrono::steady_clock::now() + LongestTransfer);
}

} // namespace vanillanotch
