#include "daemon/node.h"

#include <malloc.h>

namespace vanillanotch
{

namespace
{
constexpr int OperatorConnections = 32;
constexpr int DutyTicksInLease = 4;
constexpr std::size_t ConfigurationBodyLimit = 32 * 1024 * 1024; // bytes
constexpr Duration AccountIdleLimit = std::chrono::minutes(10);
constexpr Duration HousekeepingInterval = std::chrono::seconds(2);

// Waits on a condition that nobody signals: a worker's pause between two tries at the platform.
class WorkerPause final : public BackoffSleeper
{
public:
    void wait(Duration duration) override
    {
        RankedMutex mutex(LockRank::Leaf);
        std::condition_variable_any never;
        Lock lock(mutex);
        never.wait_for(lock, duration, [] {
            return false;
        });
    }
};

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
}
} // namespace

Node::Node(const NodeSettings &settings, Platform platform, std::unique_ptr<BackendChannel> channel, std::unique_ptr<MetricsRegistry> metrics)
    : m_settings(settings)
    , m_metrics(std::move(metrics))
    , m_platform(std::move(platform))
    , m_channel(std::move(channel))
    , m_journalStore(makeTableJournal(*m_platform.table))
    , m_kept(makeObjectResults(*m_platform.objects))
    , m_configurationStore(makeTableConfigurationStore(*m_platform.table, *m_platform.objects))
    , m_codec(makeAnswerCodec())
    , m_admission(makeDeadlineAdmission())
    , m_retries(makeBudgetedRetry())
    , m_pause(std::make_unique<WorkerPause>())
    , m_configurationService(*m_configurationStore, m_configurations, m_clock)
    , m_servers(m_clock, settings.dataCentre, HealthSettings{}, makeRouting(settings.routing))
    , m_accounts(m_clock)
    , m_journal(*m_journalStore, m_clock, *m_pause)
    , m_suspects(m_clock)
    , m_workers(settings.workers)
    , m_timers(m_workers)
    , m_watchdog(m_timers)
{
}

Node::~Node()
{
    m_timers.stop();
}

double Node::accountShare() const
{
    // Callers come through a balancer: each living node of the whole system sees an equal part of an account's rate.
    return 1.0 / static_cast<double>(m_members->aliveCount());
}

Result<void> Node::start()
{
    PeerSettings peerSettings;
    peerSettings.secret = m_settings.peerSecret;
    auto peerServer = makeGrpcPeerServer(m_settings.peerAddress, peerSettings);
    if (!peerServer) {
        return tl::unexpected(peerServer.error());
    }
    m_peerServer = std::move(*peerServer);
    m_peers = makeGrpcPeerChannel(peerSettings);

    MemberRecord self;
    self.name = m_settings.node;
    self.dataCentre = m_settings.dataCentre;
    self.incarnation = newIncarnation();
    const std::string host = m_settings.advertiseAddress.empty() ? hostOf(m_settings.peerAddress) : m_settings.advertiseAddress;
    self.peerAddress = host + ":" + std::to_string(m_peerServer->port());
    m_members = std::make_unique<MemberTable>(m_clock, MembershipSettings{}, self);

    RequestDependencies requestParts{m_clock, m_configurations, m_servers,  m_accounts, m_estimates, *m_admission, *m_retries, m_journal,
                                     *m_kept, *m_codec,         *m_channel, m_requests, m_suspects,  m_costs,      *m_metrics, m_workers};
    m_service = std::make_unique<RequestService>(requestParts, RequestSettings{}, [this] {
        return accountShare();
    });
    ControlSettings controlSettings;
    controlSettings.roots = m_settings.roots;
    controlSettings.fanOut = m_settings.fanOut;
    ControlDependencies controlParts{m_clock,    m_configurationService, m_configurations, *m_members, m_servers,
                                     m_suspects, *m_platform.vms,        *m_peers,         m_workers,  *m_metrics};
    m_duties = std::make_unique<ControlPlane>(controlParts, controlSettings);
    m_dutyStore = makeTableDuties(*m_platform.table);
    m_engines = makeHttpEngineChannel();
    DutySettings dutySettings{m_settings.dutyLease, m_settings.dutyMargin};
    m_ordersDuty = std::make_unique<DutyLease>(*m_dutyStore, m_clock, "engine-orders/" + self.dataCentre, self.name + "/" + std::to_string(self.incarnation),
                                               dutySettings);
    m_orders = std::make_unique<EngineOrders>(*m_ordersDuty, *m_dutyStore, *m_engines, m_clock, self.dataCentre);
    m_callerHandler = std::make_unique<CallerHandler>(*m_service);
    OperatorDependencies operatorParts{
        m_clock,   m_configurationService, m_configurations, *m_duties, *m_service, m_requests, m_servers, m_accounts, *m_members, m_suspects, m_costs,
        *m_metrics};
    m_operatorHandler = std::make_unique<OperatorHandler>(operatorParts, m_settings.operatorKeyDigest);
    m_metrics->gauge("vanillanotch_requests_running", [this] {
        return static_cast<double>(m_requests.running());
    });
    m_metrics->gauge("vanillanotch_duty_held{duty=\"engine-orders\"}", [this] {
        return m_ordersDuty->fencingNumber() ? 1.0 : 0.0;
    });
    m_metrics->gauge("vanillanotch_revision", [this] {
        return static_cast<double>(m_configurations.current()->revision());
    });
    try {
        HttpServerSettings operators;
        operators.name = "operators";
        operators.address = m_settings.operatorAddress;
        operators.connections = OperatorConnections;
        operators.bodyLimit = ConfigurationBodyLimit;
        m_operatorServer = std::make_unique<HttpServer>(operators, *m_operatorHandler, m_watchdog);
        HttpServerSettings callers;
        callers.name = "callers";
        callers.address = m_settings.callerAddress;
        callers.connections = static_cast<int>(m_settings.connections);
        callers.readTimeout = m_settings.readLimit;
        m_callerServer = std::make_unique<HttpServer>(callers, *m_callerHandler, m_watchdog);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::ListenFailed, exception.displayText());
    }
    m_members->setOperatorAddress(hostOf(self.peerAddress) + ":" + std::to_string(m_operatorServer->port()));
    m_peerServer->serve(*m_duties);
    startTimers();
    return {};
}

void Node::startTimers()
{
    m_workers.post([this] {
        m_duties->start(m_settings.seeds);
    });
    m_timers.every(m_settings.headInterval, [this] {
        m_duties->readHead();
    });
    m_timers.every(m_settings.headInterval, [this] {
        m_duties->readVmList();
    });
    m_timers.every(m_settings.exchangeInterval, [this] {
        m_duties->exchangeOnce();
    });
    m_timers.every(m_settings.dutyLease / DutyTicksInLease, [this] {
        const bool chosen = m_duties->shouldHoldDuty("engine-orders") && !m_service->leaving();
        m_ordersDuty->tick(chosen);
        m_orders->run(*m_configurations.current());
    });
    m_timers.every(HousekeepingInterval, [this] {
        m_accounts.removeIdle(AccountIdleLimit);
        m_channel->closeExpiredConnections();
        if (const Revision revision = m_configurations.current()->revision(); m_trimmedRevision.exchange(revision) != revision) {
            ::malloc_trim(0); // gives back what reading a configuration has used for a moment
        }
    });
}

void Node::stop()
{
    logEvent(LogLevel::Info, "node.stopping", {{"running", static_cast<std::uint64_t>(m_requests.running())}});
    m_service->beginLeaving(); // not ready; requests are still served while the balancer moves on
    m_duties->announceLeave();
    m_callerServer->beginClosing();
    m_pause->wait(m_settings.balancerGrace);
    m_service->beginShutdown(); // new requests are refused
    m_callerServer->stop(m_settings.drainLimit);
    m_timers.stop();
    m_operatorServer->stop(Duration::zero());
    m_peerServer->stop();
    logEvent(LogLevel::Info, "node.stopped", {{"running", static_cast<std::uint64_t>(m_requests.running())}});
}

std::string Node::callerAddress() const
{
    return m_callerServer->address();
}

std::string Node::operatorAddress() const
{
    return m_operatorServer->address();
}

std::string Node::peerAddress() const
{
    return m_members->self().peerAddress;
}

} // namespace vanillanotch
