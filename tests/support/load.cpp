#include "load.h"

#include <algorithm>

namespace vanillanotch::test
{

namespace
{
constexpr Duration ReadinessInterval = std::chrono::milliseconds(50);
constexpr Duration ReadinessTimeout = std::chrono::seconds(2); // longest time for which a paused node delays the checks of the other nodes

bool isReady(const std::string &operatorAddress)
{
    return send(operatorAddress, "GET", "/readyz", {}, {}, ReadinessTimeout).status == 200;
}
} // namespace

Balancer::Balancer(Cluster &cluster)
    : m_cluster(cluster)
{
    refresh();
    m_thread = std::thread([this] {
        checkPeriodically();
    });
}

Balancer::~Balancer()
{
    {
        const Lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void Balancer::refresh()
{
    std::vector<Target> targets;
    for (const std::string &name : m_cluster.nodeNames()) {
        Process &node = m_cluster.node(name);
        if (node.running()) {
            targets.push_back(Target{node.address("callers"), node.address("operators"), false});
        }
    }
    for (Target &target : targets) {
        target.ready = isReady(target.operatorAddress);
    }
    const Lock lock(m_mutex);
    m_targets = std::move(targets);
}

std::string Balancer::pick(std::uint64_t random)
{
    const Lock lock(m_mutex);
    std::vector<std::string> ready;
    for (const Target &target : m_targets) {
        if (target.ready) {
            ready.push_back(target.callerAddress);
        }
    }
    return ready.empty() ? std::string() : ready[random % ready.size()];
}

void Balancer::checkPeriodically()
{
    Lock lock(m_mutex);
    while (!m_stopping) {
        const std::vector<Target> targets = m_targets;
        lock.unlock();
        std::map<std::string, bool> ready;
        for (const Target &target : targets) {
            ready[target.callerAddress] = isReady(target.operatorAddress);
        }
        lock.lock();
        for (Target &target : m_targets) {
            if (const auto found = ready.find(target.callerAddress); found != ready.end()) {
                target.ready = found->second;
            }
        }
        m_wake.wait_for(lock, ReadinessInterval, [this] {
            return m_stopping;
        });
    }
}

LoadGenerator::LoadGenerator(Balancer &balancer, std::size_t callers, std::vector<std::string> pipelines, std::uint64_t seed, CallOptions options)
    : m_balancer(balancer)
    , m_pipelines(std::move(pipelines))
    , m_options(std::move(options))
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_threads.emplace_back([this, i, seed] {
            run(i, seed);
        });
    }
}

LoadGenerator::~LoadGenerator()
{
    stop();
}

std::vector<SentRequest> LoadGenerator::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    const Lock lock(m_mutex);
    return m_sent;
}

std::size_t LoadGenerator::endedRequests()
{
    const Lock lock(m_mutex);
    return m_sent.size();
}

void LoadGenerator::run(std::size_t caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + caller);
    for (unsigned number = 0; !m_stopping; ++number) {
        SentRequest sent;
        sent.pipeline = m_pipelines[random() % m_pipelines.size()];
        sent.input = "input " + std::to_string(seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
        CallOptions options = m_options;
        options.stream = random() % 2 == 0 && sent.pipeline != "payout";
        if (sent.pipeline != "answer") { // requests of `answer` get no idempotency key from here; that of `m_options` is sent, if it has one
            sent.key = "key-" + std::to_string(seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
            options.idempotencyKey = sent.key;
        }
        const std::string address = m_balancer.pick(random());
        if (address.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        sent.result = callPipeline(address, sent.pipeline, sent.input, options);
        const Lock lock(m_mutex);
        m_sent.push_back(std::move(sent));
    }
}

namespace
{
std::string describeWrongAnswer(const SentRequest &sent)
{
    const bool generates = sent.pipeline != "payout";
    if (generates && sent.result.text() != expectedText(sent.input, ModelTokens)) {
        return "generated text differs from the expected one for '" + sent.input + "': " + sent.result.text();
    }
    if (generates && !sent.result.streamed.empty() && sent.result.streamed != sent.result.text()) {
        return "streamed text differs from the text of the answer for '" + sent.input + "': " + sent.result.streamed;
    }
    if (!generates && sent.result.body.at("answer").at("services").at("release").at("done_for") != sent.input) {
        return "payout of another request in the answer to '" + sent.input + "'";
    }
    return {};
}
} // namespace

std::string describeLedgerMismatch(const std::vector<SentRequest> &sent, const std::vector<LedgerLine> &ledger)
{
    std::map<std::string, std::size_t> begunByRequest;
    std::map<std::string, std::size_t> effectsByKey;
    for (const LedgerLine &line : ledger) {
        if (line.event != "begin") {
            continue;
        }
        ++begunByRequest[line.request];
        if (line.path == "/payout") {
            ++effectsByKey[line.key];
        }
    }
    for (const auto &[key, effects] : effectsByKey) {
        if (effects > 1) {
            return "the payout with key " + key + " was executed " + std::to_string(effects) + " times, expected once at most";
        }
    }
    for (const SentRequest &sentRequest : sent) {
        if (sentRequest.result.status == 200) {
            if (std::string problem = describeWrongAnswer(sentRequest); !problem.empty()) {
                return problem;
            }
            if (sentRequest.pipeline == "payout" && effectsByKey[sentRequest.key] != 1) {
                return "payout was answered with success, but the ledger shows no execution; key: " + sentRequest.key;
            }
        }
        if (sentRequest.result.outcome() == "not_run") {
            const std::string request = sentRequest.result.body.at("error").value("request", "");
            if (!request.empty() && begunByRequest.count(request) == 1) {
                return "request was refused with outcome not_run, but the ledger shows that it was executed: " + request;
            }
        }
    }
    return {};
}

std::size_t countStatus(const std::vector<SentRequest> &sent, int status)
{
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [status](const SentRequest &sentRequest) {
        return sentRequest.result.status == status;
    }));
}

std::string describeFailures(const std::vector<SentRequest> &sent)
{
    std::map<std::string, int> counts;
    for (const SentRequest &sentRequest : sent) {
        if (sentRequest.result.status != 200) {
            ++counts["status " + std::to_string(sentRequest.result.status) + " code " + std::to_string(sentRequest.result.errorCode()) + " "
                     + sentRequest.result.outcome()];
        }
    }
    std::string text;
    for (const auto &[failure, count] : counts) {
        text += failure + ": " + std::to_string(count) + "; ";
    }
    return text;
}

} // namespace vanillanotch::test
