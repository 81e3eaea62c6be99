// vanillanotch peer library: gRPC between entry VMs. Encodes and decodes; ControlDuties decides.
#pragma once

#include "base/base.h"
#include "dissemination/dissemination.h"

#include <memory>

namespace vanillanotch
{

struct PeerSettings {
    std::string secret; // shared by all nodes; calls with another one are refused
    std::chrono::milliseconds timeout{1000}; // for one call
    std::chrono::milliseconds snapshotTimeout{10000};
};

std::unique_ptr<PeerChannel> makeGrpcPeerChannel(const PeerSettings &settings);

class PeerServer
{
public:
    virtual ~PeerServer() = default; // stops
    virtual std::uint16_t port() const = 0;
    virtual void serve(ControlPlane &duties) = 0; // calls before this are answered with UNAVAILABLE
    virtual void stop() = 0;
};

// ListenFailed when the address can't be bound.
Result<std::unique_ptr<PeerServer>> makeGrpcPeerServer(const std::string &address, const PeerSettings &settings);

} // namespace vanillanotch
