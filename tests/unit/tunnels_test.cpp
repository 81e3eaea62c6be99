// Connections to servers through another node: when a node takes itself for cut off, which node it asks, and what passes through a tunnel. Decisions with fakes
// and a clock of their own; tunnels over loopback sockets.
#include "peer_side.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// Refuses, or connects to a real server in place of each address.
class FakeDialer final : public Dialer
{
public:
    std::string target; // empty: connections are refused
    unsigned dialled = 0;
    tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dial(const std::string & /*address*/, TimePoint until, CancellationWatch &cancellation) override
    {
        ++dialled;
        return target.empty() ? tl::unexpected(UpstreamFailure{ErrorCode::ConnectFailed, false, true})
                              : connectDirectly(m_settings, target, until, cancellation);
    }
    bool refused(const std::string & /*address*/, TimePoint /*until*/) override
    {
        return target.empty();
    }

private:
    const UpstreamSettings m_settings;
};

class FakeTunnels final : public TunnelChannel
{
public:
    std::map<std::string, TunnelError> errors; // by gateway; another one connects to `target`
    std::string target;
    std::vector<std::string> asked;
    tl::expected<std::unique_ptr<Connection>, TunnelError> open(const std::string &gateway, const std::string & /*server*/, TimePoint until,
                                                                CancellationWatch &cancellation) override
    {
        asked.push_back(gateway);
        if (const auto error = errors.find(gateway); error != errors.end()) {
            return tl::unexpected(error->second);
        }
        return std::move(*connectDirectly(m_settings, target, until, cancellation));
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

TEST_GROUP(TunnelDecisions)
{
    ManualClock clock;
    MetricsRegistry metrics;
    std::vector<Gateway> nodes{{"near", "dc1"}, {"far", "dc2"}};
    Reachability reachability{clock};
    GatewayChooser gateways{clock, "dc1", [this] {
                                return nodes;
                            }};
    FakeDialer direct;
    FakeTunnels tunnels;
    ScriptedServer server;
    TunnelDialer dialer{direct, tunnels, reachability, gateways, metrics};
    NeverCancelled neverCancelled;

    void setup() override
    {
        server.script = [](ServerConnection & /*connection*/) {
        };
        tunnels.target = server.address();
    }
    bool dial(const std::string &address)
    {
        return dialer.dial(address, std::chrono::steady_clock::now() + seconds(1), neverCancelled).has_value();
    }
};

// Guards against a server that has crashed and costs a detour, and against a node that takes itself for cut off because of it.
TEST(TunnelDecisions, OneServerThatFailsIsNoPartition)
{
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(dial("10.0.0.1:1"));
    }
    CHECK(tunnels.asked.empty());
    CHECK_FALSE(reachability.maybeCutOff());
    // Failures of two servers with a connection in between, or long before, don't add up.
    direct.target = server.address();
    CHECK(dial("10.0.0.3:1"));
    direct.target.clear();
    CHECK_FALSE(dial("10.0.0.2:1"));
    CHECK_FALSE(reachability.maybeCutOff());
    clock.advance(seconds(4));
    CHECK_FALSE(dial("10.0.0.1:1"));
    CHECK(tunnels.asked.empty());
}

// Guards against callers of a node without servers (RECOVER, issue 61): from the second server on whose connection fails, another node makes the connections,
// and direct ones aren't waited for until one succeeds again.
TEST(TunnelDecisions, ANodeThatReachesNoServerUsesTunnelsUntilItDoes)
{
    CHECK_FALSE(dial("10.0.0.1:1"));
    CHECK(dial("10.0.0.2:1"));
    CHECK(reachability.cutOff());
    const unsigned dialled = direct.dialled;
    CHECK(dial("10.0.0.1:1"));
    CHECK(dial("10.0.0.3:1"));
    LONGS_EQUAL(dialled, direct.dialled);
    dialer.probe(std::chrono::steady_clock::now() + seconds(1));
    LONGS_EQUAL(dialled + 1, direct.dialled);
    CHECK(reachability.cutOff());
    direct.target = server.address();
    dialer.probe(std::chrono::steady_clock::now() + seconds(1));
    CHECK_FALSE(reachability.cutOff());
    CHECK_FALSE(reachability.recordTunnel()); // one that was asked for before
    CHECK_FALSE(reachability.cutOff());
    const std::size_t asked = tunnels.asked.size();
    CHECK(dial("10.0.0.1:1"));
    LONGS_EQUAL(asked, tunnels.asked.size());
}

// Guards against a server that is blamed, or a node that counts as cut off, by the word of one node that may be cut off itself: the near one refuses, the far
// one connects.
TEST(TunnelDecisions, OneGatewayThatFailsHasNotTheLastWord)
{
    tunnels.errors = {{"near", TunnelError::ServerRefuses}};
    CHECK_FALSE(dial("10.0.0.1:1"));
    CHECK_FALSE(reachability.cutOff());
    CHECK_FALSE(dialer.refused("10.0.0.2:1", std::chrono::steady_clock::now() + seconds(1)));
    CHECK(reachability.cutOff());
    CHECK(tunnels.asked == std::vector<std::string>({"near", "far"}));
}

// Guards against crashes that aren't counted any more: a server that this node and two others find refusing has crashed; so has one for a node without others.
TEST(TunnelDecisions, AServerThatRefusesAllHasCrashed)
{
    const auto refused = [this] {
        return dialer.refused("10.0.0.1:1", std::chrono::steady_clock::now() + seconds(1));
    };
    tunnels.errors = {{"near", TunnelError::ServerRefuses}, {"far", TunnelError::ServerRefuses}};
    CHECK(refused());
    CHECK_FALSE(reachability.cutOff());
    nodes.clear();
    CHECK(refused());
    direct.target = server.address();
    CHECK_FALSE(refused());
}

// Guards against a node that reaches no other one either, and waits for some of them at each connection.
TEST(TunnelDecisions, WhereNoGatewayHelpsNoneIsAskedForAWhile)
{
    tunnels.errors = {{"near", TunnelError::Unavailable}, {"far", TunnelError::Unavailable}, {"further", TunnelError::Unavailable}};
    nodes.push_back({"further", "dc3"});
    nodes.push_back({"fourth", "dc4"});
    tunnels.errors.emplace("fourth", TunnelError::Unavailable);
    CHECK_FALSE(dial("10.0.0.1:1"));
    CHECK_FALSE(dial("10.0.0.2:1"));
    LONGS_EQUAL(3, static_cast<long>(tunnels.asked.size()));
    CHECK_FALSE(dial("10.0.0.2:1"));
    LONGS_EQUAL(3, static_cast<long>(tunnels.asked.size()));
    clock.advance(milliseconds(1100));
    tunnels.errors.clear();
    CHECK(dial("10.0.0.2:1"));
}

// Guards against gateways that are asked again and again in vain, and against a data centre that is cut off as a whole and asks only its own nodes.
TEST(TunnelDecisions, GatewaysOfBothKindsAreAskedInTurnAndLeftOutForAWhile)
{
    nodes = {{"n1", "dc1"}, {"n2", "dc1"}, {"n3", "dc1"}, {"f1", "dc2"}, {"f2", "dc3"}};
    const std::vector<std::string> chosen = gateways.choose(3);
    LONGS_EQUAL(3, static_cast<long>(chosen.size()));
    CHECK(chosen[0][0] == 'n' && chosen[1][0] == 'f' && chosen[2][0] == 'n');
    for (const char *address : {"n1", "n2", "n3", "f1"}) {
        gateways.leaveOut(address);
    }
    CHECK(gateways.choose(3) == std::vector<std::string>{"f2"});
    clock.advance(milliseconds(1100));
    LONGS_EQUAL(5, static_cast<long>(gateways.choose(9).size()));
}

// Guards against a gateway that is cut off itself, that connects to what is no server, or that takes more than it has room for.
TEST(TunnelDecisions, TheGateAdmitsWhatTheNodeCanDo)
{
    TunnelGate gate(reachability, 2, [](const std::string &address) {
        return address == "10.0.0.1:1";
    });
    CHECK(gate.enter("127.0.0.1:22").error() == TunnelError::ServerUnreachable);
    const auto first = gate.enter("10.0.0.1:1");
    CHECK(first.has_value());
    {
        const auto second = gate.enter("10.0.0.1:1");
        CHECK(second.has_value());
        CHECK(gate.enter("10.0.0.1:1").error() == TunnelError::Unavailable);
        LONGS_EQUAL(2, static_cast<long>(gate.count()));
    }
    CHECK(gate.enter("10.0.0.1:1").has_value());
    reachability.recordDirect("10.0.0.1:1", false);
    reachability.recordDirect("10.0.0.2:1", false);
    CHECK(gate.enter("10.0.0.1:1").error() == TunnelError::Unavailable);
    LONGS_EQUAL(1, static_cast<long>(gate.count()));
}

TEST_GROUP(Tunnels)
{
    PeerSide node;
    ManualClock clock;
    Reachability reachability{clock};
    GatewayChooser gateways{clock, "dc1", [] {
                                return std::vector<Gateway>();
                            }};
    DirectDialer direct{node.upstream};
    std::unique_ptr<TunnelChannel> channel = makeTunnelChannel(node.upstream);
    TunnelDialer dialer{direct, *channel, reachability, gateways, node.metrics};
    TunnelGate gate{reachability, 4, [](const std::string & /*server*/) {
                        return true;
                    }};
    std::string observed;
    TunnelServing serving{gate, dialer, [this](const std::string & /*server*/) {
                              return [this](std::string_view bytes) {
                                  observed += bytes;
                              };
                          }};
    PeerHandler handler{node.scheduler, node.placement, node.streams, node.deployments, RelayedTables{}, node.leaving, node.metrics};
    FrontServer gateway{"peers", "127.0.0.1:0", handler, node.pool};
    ScriptedServer server;

    void setup() override
    {
        handler.setTunnels(&serving);
    }
    void teardown() override
    {
        awaitNoTunnels();
        gateway.stop();
    }
    void awaitNoTunnels()
    {
        for (int i = 0; i < 500 && gate.count() > 0; ++i) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        LONGS_EQUAL(0, static_cast<long>(gate.count()));
    }
    // A dialer that always has the gateway connect.
    class Through final : public Dialer
    {
    public:
        Through(TunnelChannel &channel, std::string gateway)
            : m_channel(channel)
            , m_gateway(std::move(gateway))
        {
        }
        tl::expected<std::unique_ptr<Connection>, UpstreamFailure> dial(const std::string &address, TimePoint until, CancellationWatch &cancellation) override
        {
            auto connection = m_channel.open(m_gateway, address, until, cancellation);
            return connection ? tl::expected<std::unique_ptr<Connection>, UpstreamFailure>(std::move(*connection))
                              : tl::unexpected(UpstreamFailure{ErrorCode::ConnectFailed, false, connection.error() == TunnelError::ServerRefuses});
        }
        bool refused(const std::string & /*address*/, TimePoint /*until*/) override
        {
            return false;
        }

    private:
        TunnelChannel &m_channel;
        const std::string m_gateway;
    };
    struct Outcome {
        ErrorCode error{}; // zero: a whole reply
        bool refused = false;
        std::string body;
    };
    Outcome call(const std::string &address, const std::string &requestBody = {})
    {
        Through through(*channel, gateway.address());
        UpstreamSettings settings;
        settings.dialer = &through;
        UpstreamCall upstream(settings);
        NeverCancelled neverCancelled;
        const TimePoint until = std::chrono::steady_clock::now() + seconds(5);
        if (const auto opened = upstream.open(address, until, neverCancelled); !opened) {
            return {opened.error().code, opened.error().connectionRefused, {}};
        }
        const std::string request = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(requestBody.size()) + "\r\n\r\n" + requestBody;
        if (const auto head = upstream.exchange(request, until, neverCancelled); !head) {
            return {head.error().code, false, {}};
        }
        auto body = upstream.readAll(1 << 26, until, neverCancelled);
        return body ? Outcome{{}, false, std::move(*body)} : Outcome{body.error().code, false, {}};
    }
};

// Guards against bytes that are lost, added or changed on the way, with long requests and replies and all framings.
TEST(Tunnels, BytesPassUnchangedInBothDirections)
{
    std::string big(3'000'000, ' ');
    for (std::size_t i = 0; i < big.size(); ++i) {
        big[i] = static_cast<char>(i * 2654435761U >> 11U);
    }
    for (const std::string &fields : {"Content-Length: " + std::to_string(big.size()) + "\r\n", std::string()}) {
        server.script = [&](ServerConnection &connection) {
            CHECK(connection.receiveRest(big.size()));
            (void)connection.send("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + big);
        };
        const Outcome outcome = call(server.address(), big);
        LONGS_EQUAL(0, static_cast<long>(outcome.error));
        CHECK(outcome.body == big);
    }
    CHECK(observed.substr(0, 15) == "HTTP/1.1 200 OK");
}

// Guards against a reply that broke off and passes for a whole one: with a length, in chunks, and without either, where only a reset tells.
TEST(Tunnels, AReplyThatBreaksOffIsNotWhole)
{
    for (const std::string &beginning :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\npart"), std::string("HTTP/1.1 200 OK\r\n\r\npart"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), std::string("HTTP/1.1 200 OK\r\n")}) {
        server.script = [&](ServerConnection &connection) {
            (void)connection.send(beginning);
            connection.pause(milliseconds(20));
            connection.reset();
        };
        CHECK(call(server.address()).error == ErrorCode::ConnectionLost);
    }
}

// Guards against a server that works on for a caller who has left, or whose node has given up (GONE).
TEST(Tunnels, TheEndOfTheCallReachesTheServer)
{
    std::atomic<bool> ended{false};
    server.script = [&](ServerConnection &connection) {
        connection.wait(seconds(10));
        ended = true;
    };
    {
        NeverCancelled neverCancelled;
        const auto connection = channel->open(gateway.address(), server.address(), std::chrono::steady_clock::now() + seconds(1), neverCancelled);
        CHECK(connection.has_value());
        std::string_view request = "GET / HTTP/1.1\r\n\r\n";
        CHECK((*connection)->send(request) == IoState::Progress);
        std::this_thread::sleep_for(milliseconds(50));
        CHECK_FALSE(ended);
    }
    for (int i = 0; i < 300 && !ended; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(ended);
}

// Guards against a connection that counts as made before the server's was, so that a request that could go elsewhere may have been sent.
TEST(Tunnels, WhatTheGatewayCannotConnectWasNotSent)
{
    ScriptedServer crashed;
    crashed.stopListening();
    const Outcome refused = call(crashed.address());
    CHECK(refused.error == ErrorCode::ConnectFailed);
    CHECK(refused.refused);
    const Outcome invalid = call("no address");
    CHECK(invalid.error == ErrorCode::ConnectFailed);
    CHECK_FALSE(invalid.refused);
    reachability.recordDirect("10.0.0.1:1", false);
    reachability.recordDirect("10.0.0.2:1", false);
    CHECK_FALSE(call(server.address()).refused); // the gateway is cut off itself
    LONGS_EQUAL(0, server.requests);
    node.leaving = true;
    CHECK(call(server.address()).error == ErrorCode::ConnectFailed);
}
