// One request to another node; private to the peer HTTP library.
#pragma once

#include "peerhttp/peerhttp.h"

namespace vanillanotch
{

constexpr std::string_view RelayTablePath = "/v1/table";
constexpr std::string_view PlacementPath = "/v1/placements";
constexpr std::string_view PlacementReportsPath = "/v1/placement-reports";
constexpr std::string_view ConfigurationPath = "/v1/configuration";
constexpr std::string_view TunnelPath = "/v1/tunnels";
constexpr const char *TunnelHeader = "Tunnel"; // of the reply after whose head the server's bytes follow
constexpr std::string_view StreamVersionsPath = "/v1/stream-versions";
constexpr Duration PeerReplyTimeout = std::chrono::seconds(1); // timeout for sending a reply to another node; of a long one, for each pause in sending it

struct PeerCall {
    std::string address; // IP:port
    std::string_view path;
    std::string body;
    // Connecting and the first wait for the reply's head may last until this time. Each time `alive` of callPeer() returns true, another wait of the same
    // length begins.
    TimePoint firstCheckAt{};
    TimePoint deadline{}; // time by which the later waits and the reading of the reply's body end; doesn't limit the first wait
    std::optional<ReplyLimits> limits{}; // for the reply's body, counted from the call's beginning; nullopt: only `deadline`
};

struct PeerReply {
    Headers headers;
    std::string body; // decompressed
    std::size_t bytes = 0; // of the body as it came
};

// The deflate coding of HTTP. Errors of inflated(): InvalidReply, also for a text longer than `limit` bytes.
std::string deflated(const std::string &text);
Result<std::string> inflated(const std::string &compressed, std::size_t limit);

// Sends peerCall.body in a POST request and returns the reply, whatever the reply's status. `alive` returns whether the other node
// still answers. It is called each time a wait for the reply's head has timed out before peerCall.deadline; false ends the call with
// ServerTimeout.
tl::expected<PeerReply, UpstreamFailure> callPeer(const UpstreamSettings &settings, const PeerCall &peerCall, CancellationWatch &canceller,
                                                  const std::function<bool()> &alive);

// callPeer() for a question that nothing cancels, with one wait for the reply. Errors: PeerUnavailable.
Result<PeerReply> askPeer(const UpstreamSettings &settings, const std::string &address, std::string_view path, std::string body, const ReplyLimits &limits);

} // namespace vanillanotch
