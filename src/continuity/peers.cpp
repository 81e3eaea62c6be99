// StreamPeers: other nodes that are asked when this one doesn't reach the ledger.
#include "continuity/continuity.h"

#include <algorithm>
#include <utility>

namespace vanillanotch
{

StreamPeers::StreamPeers(StreamPeerChannel &channel, std::string dataCentre, std::function<std::vector<StreamPeer>()> peers, StreamPeerSettings settings)
    : m_channel(channel)
    , m_dataCentre(std::move(dataCentre))
    , m_peers(std::move(peers))
    , m_settings(settings)
    , m_generator(std::random_device{}())
{
}

std::vector<std::string> StreamPeers::order()
{
    std::vector<StreamPeer> peers = m_peers();
    {
        const Lock lock(m_mutex);
        std::shuffle(peers.begin(), peers.end(), m_generator);
    }
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (StreamPeer &peer : peers) {
        (peer.dataCentre == m_dataCentre ? near : far).push_back(std::move(peer.address));
    }
    // What keeps this node from the store may be in its data centre, or between the data centres.
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < std::max(near.size(), far.size()) && addresses.size() < m_settings.maxAsked; ++i) {
        for (const std::vector<std::string> &group : {std::cref(far), std::cref(near)}) {
            if (i < group.size()) {
                addresses.push_back(group[i]);
            }
        }
    }
    addresses.resize(std::min(addresses.size(), m_settings.maxAsked));
    return addresses;
}

Result<std::string> StreamPeers::versionOf(const StreamTakeUp &takeUp)
{
    for (const std::string &address : order()) {
        auto version = m_channel.versionOf(address, takeUp, m_settings.timeout);
        if (version || version.error().code == ErrorCode::StreamUnknown) {
            return version;
        }
    }
    return fail(ErrorCode::StreamUnread, "neither this node nor the others that it asked reach the store");
}

} // namespace vanillanotch
