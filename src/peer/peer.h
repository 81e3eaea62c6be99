// vanillanotch peer library: gRPC calls between the nodes of vanillanotchd, which are each other's peers. It only sends, receives and
// converts messages; ControlPlane of the dissemination library decides what they lead to.
#pragma once

#include "base/base.h"
#include "dissemination/dissemination.h"

#include <memory>

namespace vanillanotch
{

struct PeerSettings {
    std::string secret; // secret shared by all nodes; calls that carry another one are refused
    std::chrono::milliseconds timeout{1000}; // for an exchange or a push; the server also waits this long for running calls when it stops
    std::chrono::milliseconds snapshotTimeout{10000}; // for fetching a snapshot of the configuration
};

std::unique_ptr<PeerChannel> makeGrpcPeerChannel(const PeerSettings &settings);

class PeerServer
{
public:
    virtual ~PeerServer() = default; // stops the server
    virtual std::uint16_t port() const = 0; // the port that the server listens on
    virtual void serve(ControlPlane &controlPlane) = 0; // serves calls from now on; earlier ones fail with UNAVAILABLE
    virtual void stop() = 0; // waits for running calls, at most for the timeout, then cancels them
};

// `address`: IP:port; port 0: any free port. ListenFailed when the address can't be bound.
Result<std::unique_ptr<PeerServer>> makeGrpcPeerServer(const std::string &address, const PeerSettings &settings);

} // namespace vanillanotch
