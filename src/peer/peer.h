// vanillanotch peer library: gRPC calls between the nodes of vanillanotchd, which are each other's peers. It only sends, receives and
// converts messages; ControlPlane of the dissemination library decides what they lead to.
#pragma once

#include "base/base.h"
#include "dissemination/dissemination.h"

#include <memory>

namespace vanillanotch
{

struct PeerSettings {
    std::string secret; // secret shared by all nodes; this node sends it with its calls and refuses calls that have another one
    std::chrono::milliseconds timeout{1000}; // for one exchange or push; PeerServer::stop() waits this long for running calls
    std::chrono::milliseconds snapshotTimeout{10000}; // for fetching a snapshot of the configuration
};

std::unique_ptr<PeerChannel> makeGrpcPeerChannel(const PeerSettings &settings);

class PeerServer
{
public:
    virtual ~PeerServer() = default; // stops the server
    virtual std::uint16_t port() const = 0; // the port that the server listens on
    virtual void serve(ControlPlane &controlPlane) = 0; // from now on passes calls to `controlPlane`; calls before this one fail with UNAVAILABLE
    virtual void stop() = 0; // waits for running calls for the timeout of PeerSettings at most, then cancels those that still run
};

// `address`: IP:port; port 0: any free port. ListenFailed when the address can't be bound.
Result<std::unique_ptr<PeerServer>> makeGrpcPeerServer(const std::string &address, const PeerSettings &settings);

} // namespace vanillanotch
