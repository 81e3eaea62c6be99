// vanillanotch peering library: what nodes ask of each other: orders for stages, and the platform's tables.
//
// HTTP/1.1 with JSON bodies on a connection for each order, not gRPC: closing the connection is how an order is withdrawn,
// and a node that idles runs no thread for it.
#pragma once

#include "stages/stages.h"
#include "watch/watch.h"

namespace vanillanotch
{

std::unique_ptr<StagePeerChannel> makeStagePeerChannel(const UpstreamSettings &settings);

std::unique_ptr<RelayChannel> makeRelayChannel(const UpstreamSettings &settings);

// The tables that this node passes on. `proof` is the one whose news tells how well it reaches the store.
struct RelayedTables {
    std::map<std::string, TableCache *> tables;
    const TableCache *freshnessTable = nullptr;
};

// Answers other nodes, and GET /metrics.
class PeerHandler final : public FrontHandler
{
public:
    PeerHandler(StageScheduler &stages, RelayedTables relayed, MetricsRegistry &metrics);
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;

private:
    void serveOrder(FrontExchange &exchange);
    void serveRelease(FrontExchange &exchange);
    void serveTable(FrontExchange &exchange);

    StageScheduler &m_stages;
    const RelayedTables m_relayed;
    MetricsRegistry &m_metrics;
};

// What a node says of itself to the others, as it is kept in the platform's store.
std::string encodeMember(const MemberRecord &member);
Result<MemberRecord> decodeMember(const std::string &name, const std::string &json); // DocumentInvalid

} // namespace vanillanotch
