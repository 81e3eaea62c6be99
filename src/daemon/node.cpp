#include "daemon/node.h"

#include <malloc.h>

namespace vanillanotch
{

namespace
{
constexpr int OperatorConnections = 32; // largest number of operators' connections that are served at the same time
constexpr int DutyTicksPerLease = 4; // number of times, within the duration of a lease on a duty, that the node renews or tries to get the lease
constexpr std::size_t ConfigurationBodyLimit = 32 * 1024 * 1024; // largest body of an operator's request, bytes
constexpr Duration AccountIdleTimeout = std::chrono::minutes(10); // the state of an account without requests is removed after this time
constexpr Duration HousekeepingInterval = std::chrono::seconds(2); // time between two removals of idle accounts, expired connections and unused heap memory

// Waits on a condition variable that is never notified, so each wait takes its whole duration. Used for the pause between two calls to the
// platform, and by stop().
class ConditionSleeper final : public BackoffSleeper
{
public:
    void wait(Duration duration) override
    {
        RankedMutex mutex(LockRank::Leaf);
        std::condition_variable_any neverNotified;
        Lock lock(mutex);
        neverNotified.wait_for(lock, duration, [] {
            return false;
        });
    }
};

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

// Microseconds of the wall clock, so that each start of the process gets another number.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
}
} // namespace

Node::Node(const NodeSettings &settings, Platform platform, std::unique_ptr<BackendChannel> channel, std::unique_ptr<MetricsRegistry> metrics)
    : m_settings(settings)
    , m_metrics(std::move(metrics))
    , m_platform(std::move(platform))
    , m_backendChannel(std::move(channel))
    , m_journalStore(makeTableJournalStore(*m_platform.table))
    , m_answerStore(makeObjectAnswerStore(*m_platform.objects))
    , m_configurationStore(makeTableConfigurationStore(*m_platform.table, *m_platform.objects))
    , m_codec(makeAnswerCodec())
    , m_admissionPolicy(makeDeadlineAdmission())
    , m_retryPolicy(makeBudgetedRetry())
    , m_backoffSleeper(std::make_unique<ConditionSleeper>())
    , m_configurationService(*m_configurationStore, m_configurations, m_clock)
    , m_servers(m_clock, settings.dataCentre, HealthSettings{}, makeRouting(settings.routing))
    , m_accounts(m_clock)
    , m_journal(*m_journalStore, m_clock, *m_backoffSleeper)
    , m_suspects(m_clock)
    , m_workers(settings.workers)
    , m_timers(m_workers)
    , m_socketWatchdog(m_timers)
{
}

Node::~Node()
{
    m_timers.stop();
}

double Node::accountShare() const
{
    // Callers come through a load balancer, so each alive node, in all data centres, is taken to get an equal part of
    // a client account's requests.
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
    m_peerChannel = makeGrpcPeerChannel(peerSettings);

    MemberRecord self;
    self.name = m_settings.node;
    self.dataCentre = m_settings.dataCentre;
    self.incarnation = newIncarnation();
    const std::string host = m_settings.advertiseAddress.empty() ? hostOf(m_settings.peerAddress) : m_settings.advertiseAddress;
    self.peerAddress = host + ":" + std::to_string(m_peerServer->port());
    m_members = std::make_unique<MemberTable>(m_clock, MembershipSettings{}, self);

    RequestDependencies requestDependencies{m_clock,        m_configurations, m_servers,      m_accounts, m_estimates,       *m_admissionPolicy,
                                            *m_retryPolicy, m_journal,        *m_answerStore, *m_codec,   *m_backendChannel, m_requests,
                                            m_suspects,     m_costs,          *m_metrics,     m_workers};
    m_requestService = std::make_unique<RequestService>(requestDependencies, RequestSettings{}, [this] {
        return accountShare();
    });
    ControlSettings controlSettings;
    controlSettings.roots = m_settings.roots;
    controlSettings.fanOut = m_settings.fanOut;
    ControlDependencies controlDependencies{m_clock,    m_configurationService, m_configurations, *m_members, m_servers,
                                            m_suspects, *m_platform.vms,        *m_peerChannel,   m_workers,  *m_metrics};
    m_control = std::make_unique<ControlPlane>(controlDependencies, controlSettings);
    m_dutyStore = makeTableDutyStore(*m_platform.table);
    m_engineChannel = makeHttpEngineChannel();
    DutySettings dutySettings{m_settings.dutyLease, m_settings.dutyMargin};
    m_engineOrdersLease = std::make_unique<DutyLease>(*m_dutyStore, m_clock, "engine-orders/" + self.dataCentre,
                                                      self.name + "/" + std::to_string(self.incarnation), dutySettings);
    m_engineOrders = std::make_unique<EngineOrders>(*m_engineOrdersLease, *m_dutyStore, *m_engineChannel, m_clock, self.dataCentre);
    m_callerHandler = std::make_unique<CallerHandler>(*m_requestService);
    OperatorDependencies operatorDependencies{
        m_clock,   m_configurationService, m_configurations, *m_control, *m_requestService, m_requests, m_servers, m_accounts, *m_members, m_suspects, m_costs,
        *m_metrics};
    m_operatorHandler = std::make_unique<OperatorHandler>(operatorDependencies, m_settings.operatorKeyDigest);
    m_metrics->gauge("vanillanotch_requests_running", [this] {
        return static_cast<double>(m_requests.runningCount());
    });
    m_metrics->gauge("vanillanotch_duty_held{duty=\"engine-orders\"}", [this] {
        return m_engineOrdersLease->fencingNumber() ? 1.0 : 0.0;
    });
    m_metrics->gauge("vanillanotch_revision", [this] {
        return static_cast<double>(m_configurations.current()->revision());
    });
    try {
        HttpServerSettings operators;
        operators.name = "operators";
        operators.address = m_settings.operatorAddress;
        operators.connections = OperatorConnections;
        operators.maxBodyBytes = ConfigurationBodyLimit;
        m_operatorServer = std::make_unique<HttpServer>(operators, *m_operatorHandler, m_socketWatchdog);
        HttpServerSettings callers;
        callers.name = "callers";
        callers.address = m_settings.callerAddress;
        callers.connections = static_cast<int>(m_settings.connections);
        callers.readTimeout = m_settings.readLimit;
        m_callerServer = std::make_unique<HttpServer>(callers, *m_callerHandler, m_socketWatchdog);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::ListenFailed, exception.displayText());
    }
    m_members->setOperatorAddress(hostOf(self.peerAddress) + ":" + std::to_string(m_operatorServer->port()));
    m_peerServer->serve(*m_control);
    startTimers();
    return {};
}

void Node::startTimers()
{
    m_workers.post([this] {
        m_control->start(m_settings.seeds);
    });
    m_timers.every(m_settings.headInterval, [this] {
        m_control->readHead();
    });
    m_timers.every(m_settings.headInterval, [this] {
        m_control->readVmList();
    });
    m_timers.every(m_settings.exchangeInterval, [this] {
        m_control->exchangeOnce();
    });
    m_timers.every(m_settings.dutyLease / DutyTicksPerLease, [this] {
        const bool shouldHold = m_control->shouldHoldDuty("engine-orders") && !m_requestService->leaving();
        m_engineOrdersLease->tick(shouldHold);
        m_engineOrders->run(*m_configurations.current());
    });
    m_timers.every(HousekeepingInterval, [this] {
        m_accounts.removeIdle(AccountIdleTimeout);
        m_backendChannel->closeExpiredConnections();
        if (const Revision revision = m_configurations.current()->revision(); m_heapTrimmedAtRevision.exchange(revision) != revision) {
            ::malloc_trim(0); // gives memory back to the system: reading a configuration needed it only for a short time
        }
    });
}

void Node::stop()
{
    logEvent(LogLevel::Info, "node.stopping", {{"running", static_cast<std::uint64_t>(m_requests.runningCount())}});
    m_requestService->beginLeaving(); // reports not ready; requests are still served until the load balancer has noticed
    m_control->announceLeave();
    m_callerServer->beginClosing();
    m_backoffSleeper->wait(m_settings.balancerGrace);
    m_requestService->beginShutdown(); // new requests are refused
    m_callerServer->stop(m_settings.drainLimit);
    m_timers.stop();
    m_operatorServer->stop(Duration::zero());
    m_peerServer->stop();
    logEvent(LogLevel::Info, "node.stopped", {{"running", static_cast<std::uint64_t>(m_requests.runningCount())}});
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
