// One request to another node; private to the peering library.
#pragma once

#include "peering/peering.h"

namespace vanillanotch
{

constexpr std::string_view TablePath = "/v1/table";
constexpr Duration PeerReplyTime = std::chrono::seconds(1); // for writing an answer

struct PeerCall {
    std::string address;
    std::string_view path;
    std::string body;
    TimePoint first{}; // the reply's head is awaited until then,
    TimePoint last{}; // and as long again while `alive` says so, but not beyond this
};

tl::expected<std::string, UpstreamFailure> callPeer(const UpstreamSettings &settings, const PeerCall &call, CallerWatch &canceller,
                                                    const std::function<bool()> &alive);

} // namespace vanillanotch
