// One request to another node; private to the peering library.
#pragma once

#include "peerhttp/peerhttp.h"

namespace vanillanotch
{

constexpr std::string_view RelayTablePath = "/v1/table";
constexpr Duration PeerReplyTimeout = std::chrono::seconds(1); // for writing an answer

struct PeerCall {
    std::string address;
    std::string_view path;
    std::string body;
    TimePoint firstCheckAt{}; // the reply's head is awaited until then,
    TimePoint deadline{}; // and as long again while `alive` says so, but not beyond this
};

tl::expected<std::string, UpstreamFailure> callPeer(const UpstreamSettings &settings, const PeerCall &call, CancellationWatch &canceller,
                                                    const std::function<bool()> &alive);

} // namespace vanillanotch
