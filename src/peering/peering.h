// vanillanotch peering library: orders for stages that one node hands to another.
//
// HTTP/1.1 with JSON bodies on a connection for each order, not gRPC: closing the connection is how an order is withdrawn,
// and a node that idles runs no thread for it.
#pragma once

#include "stages/stages.h"

namespace vanillanotch
{

std::unique_ptr<StagePeerChannel> makeStagePeerChannel(const UpstreamSettings &settings);

// Answers other nodes' orders, and GET /metrics.
class PeerHandler final : public FrontHandler
{
public:
    PeerHandler(StageScheduler &stages, MetricsRegistry &metrics);
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;

private:
    void serveOrder(FrontExchange &exchange);
    void serveRelease(FrontExchange &exchange);

    StageScheduler &m_stages;
    MetricsRegistry &m_metrics;
};

// What a node says of itself to the others, as it is kept in the platform's store.
std::string encodeMember(const MemberRecord &member);
Result<MemberRecord> decodeMember(const std::string &name, const std::string &json); // DocumentInvalid

} // namespace vanillanotch
