#include "daemon/node.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace vanillanotch
{

namespace
{
constexpr int OperatorConnections = 32; // largest number of operators' connections that are served at the same time
constexpr int DutyTicksPerLease = 4; // number of times, within the duration of a lease on a duty, that the node renews or tries to get the lease
constexpr std::size_t ConfigurationBodyLimit = 32 * 1024 * 1024; // largest body of an operator's request, bytes
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
// Memory that a request takes while it runs, as a multiple of its body: 100 requests with bodies of 0.5 MiB took 3.6 MiB each (its copies, the
// documents found for it, the bodies of stage calls).
constexpr unsigned RunningFactor = 7;
constexpr std::size_t MemoryShare = 4; // without a setting, callers may use one in this many bytes of the machine's memory
constexpr std::size_t MinCallerMemory = 32 * MiB; // but at least this: three of the largest requests at once
constexpr std::uint64_t TrimmedBytes = 4 * MiB; // memory of callers that is given back between two calls of malloc_trim()
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

// Memory of the machine, or of the control group that the process runs in, bytes.
std::size_t machineMemory()
{
    const auto physical = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    std::size_t limit = 0;
    std::ifstream file("/sys/fs/cgroup/memory.max"); // holds "max" when there is no limit
    return file >> limit ? std::min(limit, physical) : physical;
}

std::size_t defaultCallerMemory()
{
    return std::max(machineMemory() / MemoryShare, MinCallerMemory);
}

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
        operators.queuedConnections = OperatorConnections;
        operators.maxBodyBytes = ConfigurationBodyLimit;
        m_operatorServer = std::make_unique<HttpServer>(operators, *m_operatorHandler);
        HttpServerSettings callers;
        callers.name = "callers";
        callers.address = m_settings.callerAddress;
        callers.connections = static_cast<int>(m_settings.connections);
        callers.readTimeout = m_settings.readLimit;
        callers.sendTimeout = m_settings.sendLimit;
        callers.maxHeadBytes = m_settings.maxHeadKib * KiB;
        callers.memoryBytes = m_settings.callerMemoryMib == 0 ? defaultCallerMemory() : m_settings.callerMemoryMib * MiB;
        callers.runningFactor = RunningFactor;
        m_callerServer = std::make_unique<HttpServer>(callers, *m_callerHandler);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::ListenFailed, exception.displayText());
    }
    m_callerUsage = m_callerServer->usageReader();
    registerGauges();
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
        trimHeap();
        logPressure();
    });
}

void Node::trimHeap()
{
    const Revision revision = m_configurations.current()->revision();
    const std::uint64_t released = m_callerUsage().releasedBytes;
    const bool newRevision = m_heapTrimmedAtRevision.exchange(revision) != revision; // reading a configuration needed memory for a short time
    if (newRevision || released - m_heapTrimmedAtBytes >= TrimmedBytes) {
        m_heapTrimmedAtBytes = released;
        ::malloc_trim(0);
    }
}

void Node::logPressure()
{
    const HttpServerUsage usage = m_callerUsage();
    const std::uint64_t closed = usage.closedForOthers - m_loggedUsage.closedForOthers;
    const std::uint64_t refused = usage.memoryRefusals - m_loggedUsage.memoryRefusals;
    if (closed > 0 || refused > 0) {
        logEvent(LogLevel::Warning, "callers.pressure",
                 {{"closed", closed},
                  {"refused", refused},
                  {"connections", static_cast<std::uint64_t>(usage.connections)},
                  {"memory_bytes", static_cast<std::uint64_t>(usage.memoryBytes)}});
    }
    m_loggedUsage = usage;
}

void Node::registerGauges()
{
    const auto usageGauge = [this](const std::string &name, auto read) {
        m_metrics->gauge(name, [this, read] {
            return static_cast<double>(read(m_callerUsage()));
        });
    };
    usageGauge("vanillanotch_caller_connections", [](const HttpServerUsage &usage) {
        return usage.connections;
    });
    usageGauge("vanillanotch_caller_memory_bytes", [](const HttpServerUsage &usage) {
        return usage.memoryBytes;
    });
    usageGauge("vanillanotch_caller_connections_closed_for_others", [](const HttpServerUsage &usage) {
        return usage.closedForOthers;
    });
    usageGauge("vanillanotch_caller_memory_refusals", [](const HttpServerUsage &usage) {
        return usage.memoryRefusals;
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
