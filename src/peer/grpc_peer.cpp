#include "peer/generated/peer.grpc.pb.h"
#include "peer/messages.h"
#include "peer/peer.h"

#include <grpcpp/grpcpp.h>

namespace vanillanotch
{

namespace
{
constexpr const char *SecretKey = "x-peer-secret"; // name of the gRPC metadata entry that carries the nodes' shared secret
constexpr int MessageLimit = 64 * 1024 * 1024; // bytes; large enough for a snapshot of the largest configuration
constexpr int IdleTimeoutMs = 600000; // milliseconds, as gRPC takes it; an unused connection is closed after this time
constexpr int MaxReconnectBackoffMs = 2000; // milliseconds, as gRPC takes it; longest pause between two attempts to connect

class GrpcPeerChannel final : public PeerChannel
{
public:
    explicit GrpcPeerChannel(PeerSettings settings)
        : m_settings(std::move(settings))
    {
    }

    Result<ExchangeReply> exchange(const std::string &address, const ExchangeMessage &message) override
    {
        proto::ExchangeRequest request;
        proto::ExchangeReply reply;
        encode(message, request);
        const auto called = call(address, m_settings.timeout, [&](proto::Peer::Stub &stub, grpc::ClientContext &context) {
            return stub.Exchange(&context, request, &reply);
        });
        return called ? decode(reply) : tl::unexpected(called.error());
    }

    Result<void> push(const std::string &address, const PeerUpdate &update) override
    {
        proto::PushRequest request;
        proto::PushReply reply;
        encode(update, request);
        return call(address, m_settings.timeout, [&](proto::Peer::Stub &stub, grpc::ClientContext &context) {
            return stub.Push(&context, request, &reply);
        });
    }

    Result<SnapshotMessage> snapshot(const std::string &address) override
    {
        const proto::SnapshotRequest request;
        proto::SnapshotReply reply;
        const auto called = call(address, m_settings.snapshotTimeout, [&](proto::Peer::Stub &stub, grpc::ClientContext &context) {
            return stub.Snapshot(&context, request, &reply);
        });
        return called ? decode(reply) : tl::unexpected(called.error());
    }

private:
    // gRPC client for one address. Reference-counted, so that a stub that is removed from the map while a call uses it lives until the call ends.
    struct Stub : RefCounted<Stub> {
        std::unique_ptr<proto::Peer::Stub> stub;
    };

    template<typename Call>
    Result<void> call(const std::string &address, std::chrono::milliseconds timeout, const Call &invoke)
    {
        assertNoLockHeld("a peer is called while a lock is held");
        const Ref<Stub> stub = stubFor(address);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        context.AddMetadata(SecretKey, m_settings.secret);
        const grpc::Status status = invoke(*stub->stub, context);
        if (status.ok()) {
            return {};
        }
        // gRPC may not have noticed that the connection is dead, for example when the call only timed out. The stub is removed, and the next call
        // opens a new connection.
        removeStub(address);
        const bool refused = status.error_code() == grpc::StatusCode::UNAUTHENTICATED;
        return fail(refused ? ErrorCode::PeerRefused : ErrorCode::PeerUnavailable, status.error_message());
    }

    Ref<Stub> stubFor(const std::string &address)
    {
        const Lock lock(m_mutex);
        Ref<Stub> &stub = m_stubs[address];
        if (!stub) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1); // gives each stub a connection of its own, so that removing the stub closes it
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, IdleTimeoutMs);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0); // turns off the pings of the bandwidth probe: they cost more than the messages
            arguments.SetMaxReceiveMessageSize(MessageLimit);
            stub = makeRef<Stub>();
            stub->stub = proto::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return stub;
    }

    void removeStub(const std::string &address)
    {
        const Lock lock(m_mutex);
        m_stubs.erase(address);
    }

    PeerSettings m_settings;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, Ref<Stub>> m_stubs; // by address
};

class GrpcPeerServer final : public PeerServer, private proto::Peer::Service
{
public:
    explicit GrpcPeerServer(PeerSettings settings)
        : m_settings(std::move(settings))
    {
    }
    ~GrpcPeerServer() override
    {
        stop();
    }
    GrpcPeerServer(const GrpcPeerServer &) = delete;
    GrpcPeerServer &operator=(const GrpcPeerServer &) = delete;

    bool listen(const std::string &address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        builder.SetMaxReceiveMessageSize(MessageLimit);
        builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0); // makes listen() fail when the port is in use
        builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
        m_server = builder.BuildAndStart();
        return m_server != nullptr && m_port != 0;
    }

    std::uint16_t port() const override
    {
        return static_cast<std::uint16_t>(m_port);
    }

    void serve(ControlPlane &controlPlane) override
    {
        m_controlPlane = &controlPlane;
    }

    void stop() override
    {
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + m_settings.timeout);
        }
    }

private:
    // Checks whether a call may be served. UNAUTHENTICATED: the call's secret is missing or wrong. UNAVAILABLE: serve() has not been called yet.
    grpc::Status check(const grpc::ServerContext &context) const
    {
        const auto &metadata = context.client_metadata();
        const auto found = metadata.find(SecretKey);
        const bool authenticated = found != metadata.end() && equalConstantTime({found->second.data(), found->second.size()}, m_settings.secret);
        if (!authenticated) {
            return {grpc::StatusCode::UNAUTHENTICATED, "wrong peer secret"};
        }
        return m_controlPlane == nullptr ? grpc::Status(grpc::StatusCode::UNAVAILABLE, "starting") : grpc::Status::OK;
    }

    static grpc::Status invalidArgument(const Error &error)
    {
        return {grpc::StatusCode::INVALID_ARGUMENT, error.detail};
    }

    grpc::Status Exchange(grpc::ServerContext *context, const proto::ExchangeRequest *request, proto::ExchangeReply *reply) override
    {
        if (grpc::Status status = check(*context); !status.ok()) {
            return status;
        }
        const auto message = decode(*request);
        if (!message) {
            return invalidArgument(message.error());
        }
        encode(m_controlPlane.load()->answerExchange(*message), *reply);
        return grpc::Status::OK;
    }

    grpc::Status Push(grpc::ServerContext *context, const proto::PushRequest *request, proto::PushReply *reply) override
    {
        if (grpc::Status status = check(*context); !status.ok()) {
            return status;
        }
        const auto update = decode(*request);
        if (!update) {
            return invalidArgument(update.error());
        }
        m_controlPlane.load()->receiveUpdate(*update);
        reply->set_revision(m_controlPlane.load()->snapshotRevision());
        return grpc::Status::OK;
    }

    grpc::Status Snapshot(grpc::ServerContext *context, const proto::SnapshotRequest * /*request*/, proto::SnapshotReply *reply) override
    {
        if (grpc::Status status = check(*context); !status.ok()) {
            return status;
        }
        encode(m_controlPlane.load()->snapshot(), *reply);
        return grpc::Status::OK;
    }

    PeerSettings m_settings;
    int m_port = 0; // 0: not bound
    std::atomic<ControlPlane *> m_controlPlane{nullptr}; // nullptr: serve() has not been called yet
    std::unique_ptr<grpc::Server> m_server;
};
} // namespace

std::unique_ptr<PeerChannel> makeGrpcPeerChannel(const PeerSettings &settings)
{
    return std::make_unique<GrpcPeerChannel>(settings);
}

Result<std::unique_ptr<PeerServer>> makeGrpcPeerServer(const std::string &address, const PeerSettings &settings)
{
    auto server = std::make_unique<GrpcPeerServer>(settings);
    if (!server->listen(address)) {
        return fail(ErrorCode::ListenFailed, address);
    }
    return std::unique_ptr<PeerServer>(std::move(server));
}

} // namespace vanillanotch
