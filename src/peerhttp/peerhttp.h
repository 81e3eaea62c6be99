// vanillanotch peer HTTP library: calls between nodes. A node is one process of the daemon vanillanotch-entryd. One node has another one
// run a stage task (the work of one stage for one request) or asks it for changes of a table of the platform's store.
//
// Each call is HTTP/1.1 with a JSON body on a connection of its own. The calls don't use gRPC for two reasons: a node cancels a stage task
// that it sent by closing the connection, and a node that gets no calls needs no thread for them.
#pragma once

#include "continuity/continuity.h"
#include "stages/stages.h"
#include "tunnels/tunnels.h"
#include "watch/watch.h"

namespace vanillanotch
{

// Makes a channel through which this node has other nodes run stage tasks.
std::unique_ptr<StagePeerChannel> makeStagePeerChannel(const UpstreamSettings &settings);

// Makes a channel through which this node asks the owners of engines.
std::unique_ptr<PlacementChannel> makePlacementChannel(const UpstreamSettings &settings);

// Makes a channel through which this node asks others at which software version a stream goes on.
std::unique_ptr<StreamPeerChannel> makeStreamPeerChannel(const UpstreamSettings &settings);

// Makes a channel through which this node asks others for the configuration in force there.
std::unique_ptr<DeploymentPeerChannel> makeDeploymentPeerChannel(const UpstreamSettings &settings);

// Makes a channel through which this node has others connect it to backend servers.
std::unique_ptr<TunnelChannel> makeTunnelChannel(const UpstreamSettings &settings);

// What a node needs to connect others to backend servers.
struct TunnelServing {
    TunnelGate &gate;
    TunnelDialer &dialer;
    // Returns what is to be called with the bytes that the server at this address sends, from the first one on: what servers state of themselves holds for this
    // node too.
    std::function<std::function<void(std::string_view)>(const std::string &server)> observe;
};

// Makes a channel through which this node gets tables of the platform's store from another node.
std::unique_ptr<RelayChannel> makeRelayChannel(const UpstreamSettings &settings);

// Tables of the store whose rows this node gives to nodes that ask for them, by name.
using RelayedTables = std::map<std::string, TableCache *>;

// Serves the calls of other nodes, and GET /metrics.
class PeerHandler final : public FrontHandler
{
public:
    // `leaving`: set when this node is about to stop; then it takes no further work, and other nodes turn to others.
    PeerHandler(StageScheduler &stages, PlacementOwner &placement, StreamVersions &streams, const DeploymentTable &deployments, RelayedTables relayed,
                const std::atomic<bool> &leaving, MetricsRegistry &metrics);
    void setTunnels(TunnelServing *tunnels) // call it once, before the first request; without it tunnels are refused
    {
        m_tunnels = tunnels;
    }
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;
    // For a planned stop: gives the tasks that haven't ended back to the nodes that sent them, which turn to another node.
    void returnTasks();

private:
    void serveStageTask(FrontExchange &exchange);
    void serveRelease(FrontExchange &exchange);
    void serveTable(FrontExchange &exchange);
    void servePlacement(FrontExchange &exchange);
    void servePlacementReports(FrontExchange &exchange);
    void serveStreamVersion(FrontExchange &exchange);
    void serveConfiguration(FrontExchange &exchange);
    void serveTunnel(FrontExchange &exchange);
    std::string compressedCopy(const std::string &table, const std::optional<StorePosition> &after, const StoredRows &copy);

    // The rows of one reply, as sent to followers that take compressed ones.
    struct CompressedCopy {
        std::optional<StorePosition> after; // the query's; nullopt: for the whole table
        StorePosition position;
        unsigned hops = 0;
        std::string body; // empty: none yet
    };

    StageScheduler &m_stages;
    PlacementOwner &m_placement;
    StreamVersions &m_streams;
    const DeploymentTable &m_deployments;
    const RelayedTables m_relayed;
    const std::atomic<bool> &m_leaving;
    MetricsRegistry &m_metrics;
    Counter &m_tableReplyBytes;
    TunnelServing *m_tunnels = nullptr;
    RankedMutex m_mutex{LockRank::Requests};
    std::set<WakeupSignal *> m_taskSignals; // of the tasks that haven't ended
    bool m_returningTasks = false; // returnTasks() was called
    RankedMutex m_copiesMutex{LockRank::Leaf};
    std::map<std::string, CompressedCopy> m_copies; // the latest one of each table
};

// JSON of the record by which a node describes itself to the other nodes, as it stands in the platform's store. The node's name
// isn't part of the JSON: it is the key of the row. decodeMember() fails with DocumentInvalid when the text isn't such JSON.
std::string encodeMember(const MemberRecord &member);
Result<MemberRecord> decodeMember(const std::string &name, const std::string &json);

} // namespace vanillanotch
