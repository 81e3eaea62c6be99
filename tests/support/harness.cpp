#include "harness.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#ifndef VANILLANOTCH_BINARIES
#error "VANILLANOTCH_BINARIES must be defined as the path of the build folder"
#endif

namespace vanillanotch::test
{

namespace
{
constexpr const char *FailureField = "test-failure"; // field of a reply that did not come: why not
constexpr Duration PollInterval = std::chrono::milliseconds(10);
constexpr const char *OperatorKey = "operator-key";
constexpr const char *PeerSecret = "peer-secret-of-the-tests";

std::string binaryPath(const std::string &name)
{
    return std::string(VANILLANOTCH_BINARIES) + "/" + name;
}
} // namespace

bool eventually(const std::function<bool()> &condition, Duration timeout)
{
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return condition();
}

//-----------------------------------------------------------------------------
// [PROCESS]
//-----------------------------------------------------------------------------

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
        std::abort();
    }
    start(program, arguments, logFile, pipe[1]);
    ::close(pipe[1]);
    std::string line;
    char c = 0;
    while (::read(pipe[0], &c, 1) == 1 && c != '\n') {
        line += c;
    }
    ::close(pipe[0]);
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        if (const auto separator = word.find('='); separator != std::string::npos) {
            m_addresses[word.substr(0, separator)] = word.substr(separator + 1);
        }
    }
}

Process::Process(NoWait /*tag*/, const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, unsigned maxDescriptors,
                 const std::vector<std::string> &environment)
{
    start(program, arguments, logFile, std::nullopt, maxDescriptors, environment);
}

void Process::start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, std::optional<int> output,
                    unsigned maxDescriptors, const std::vector<std::string> &environment)
{
    std::vector<char *> variables;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.push_back(*variable);
    }
    for (const std::string &variable : environment) {
        variables.push_back(const_cast<char *>(variable.c_str()));
    }
    variables.push_back(nullptr);
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(output.value_or(log), STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        if (const rlimit limit{maxDescriptors, maxDescriptors}; maxDescriptors > 0 && ::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
            ::_exit(127);
        }
        ::execve(program.c_str(), argv.data(), variables.data());
        ::_exit(127);
    }
    ::close(log);
}

Process::~Process()
{
    kill();
}

std::string Process::address(const std::string &name) const
{
    const auto found = m_addresses.find(name);
    return found == m_addresses.end() ? std::string() : found->second;
}

void Process::sendSignal(int number)
{
    if (!m_reaped) {
        ::kill(m_pid, number);
    }
}

int Process::wait()
{
    if (!m_reaped) {
        ::waitpid(m_pid, &m_status, 0);
        m_reaped = true;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : 128 + WTERMSIG(m_status);
}

bool Process::running()
{
    if (!m_reaped && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_reaped = true;
    }
    return !m_reaped;
}

void Process::kill()
{
    sendSignal(SIGKILL);
    wait();
}

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

int CallResult::errorCode() const
{
    return body.is_object() && body.contains("error") ? body.at("error").value("code", 0) : 0;
}

std::string CallResult::outcome() const
{
    return body.is_object() && body.contains("error") ? body.at("error").value("outcome", "") : "";
}

std::string CallResult::text() const
{
    return body.is_object() && body.contains("answer") ? body.at("answer").value("text", "") : "";
}

namespace
{
// Collects the tokens and the last event of a streamed answer.
class EventReader final : public HttpReplyListener
{
public:
    bool onLine(std::string_view text) override
    {
        const std::string_view eventPrefix = "event: ";
        const std::string_view dataPrefix = "data: ";
        if (text.substr(0, eventPrefix.size()) == eventPrefix) {
            m_event = text.substr(eventPrefix.size());
        } else if (text.substr(0, dataPrefix.size()) == dataPrefix) {
            const Json data = Json::parse(text.substr(dataPrefix.size()));
            if (m_event == "token") {
                tokens += data.at("token").get<std::string>();
            } else {
                last = data;
            }
        }
        return true;
    }

    std::string tokens;
    Json last;

private:
    std::string m_event;
};
} // namespace

CallResult callPipeline(const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options)
{
    HttpClient client;
    return callPipeline(client, address, pipeline, input, options);
}

CallResult callPipeline(HttpClient &client, const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options)
{
    HttpClientRequest request;
    request.path = "/v1/pipelines/" + pipeline;
    request.body = Json{{"input", input}, {"deadline_ms", options.deadline.count()}, {"stream", options.stream}}.dump();
    request.headers["Authorization"] = "Bearer " + options.apiKey;
    if (!options.idempotencyKey.empty()) {
        request.headers["Idempotency-Key"] = options.idempotencyKey;
    }
    request.receiveTimeout = CallTimeout;
    EventReader reader;
    const auto reply = client.call(address, request, std::chrono::steady_clock::now() + CallTimeout, CallTimeout, &reader);
    CallResult result;
    if (!reply) {
        return result;
    }
    result.status = reply->status;
    result.streamed = reader.tokens;
    result.body = reader.last.is_null() ? Json::parse(reply->body, nullptr, false) : reader.last;
    if (result.status == 200 && result.errorCode() != 0) {
        result.status = StreamErrorStatus; // an `error` event: the status line was sent before the failure
    }
    return result;
}

HttpReply send(const std::string &address, const std::string &method, const std::string &path, const std::string &body,
               const std::map<std::string, std::string> &headers, Duration timeout)
{
    HttpClientRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = headers;
    request.receiveTimeout = timeout;
    request.freshConnection = true;
    HttpClient client;
    auto reply = client.call(address, request, std::chrono::steady_clock::now() + timeout, timeout);
    if (!reply) {
        HttpReply none;
        none.headers[FailureField] = std::string(errorName(reply.error().code)) + ": " + reply.error().detail;
        return none;
    }
    return *reply;
}

std::string expectedText(const std::string &input, unsigned tokens)
{
    const std::string digest = sha256Hex(input).substr(0, 8);
    std::string text;
    for (unsigned i = 0; i < tokens; ++i) {
        text += digest + ":" + std::to_string(i) + " ";
    }
    return text;
}

//-----------------------------------------------------------------------------
// [LEDGER]
//-----------------------------------------------------------------------------

std::vector<LedgerLine> readLedger(const std::string &file)
{
    std::vector<LedgerLine> lines;
    std::ifstream in(file);
    std::string text;
    while (std::getline(in, text)) {
        LedgerLine line;
        std::istringstream words(text);
        std::string word;
        while (words >> word) {
            const auto separator = word.find('=');
            const std::string name = word.substr(0, separator);
            const std::string value = word.substr(separator + 1);
            if (name == "server") {
                line.server = value;
            } else if (name == "attempt") {
                line.attempt = value;
            } else if (name == "request") {
                line.request = value;
            } else if (name == "path") {
                line.path = value;
            } else if (name == "key") {
                line.key = value;
            } else if (name == "event") {
                line.event = value;
            } else if (name == "us") {
                line.duration = std::chrono::microseconds(std::stoll(value));
            }
        }
        lines.push_back(line);
    }
    return lines;
}

std::size_t countEffects(const std::vector<LedgerLine> &ledger, const std::string &path, const std::string &key)
{
    std::size_t count = 0;
    for (const LedgerLine &line : ledger) {
        count += line.event == "begin" && line.path == path && line.key == key ? 1 : 0;
    }
    return count;
}

//-----------------------------------------------------------------------------
// [CLUSTER]
//-----------------------------------------------------------------------------

Cluster::Cluster(const std::string &name)
    : m_folder((std::filesystem::temp_directory_path() / ("vanillanotch-" + name + "-" + std::to_string(::getpid()))).string())
    , m_ledgerFile(m_folder + "/ledger")
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    m_platform = std::make_unique<Process>(binaryPath("tests/platform_standin"), std::vector<std::string>{}, m_folder + "/platform.log");
    m_proxy = std::make_unique<Process>(binaryPath("tests/fault_proxy"), std::vector<std::string>{}, m_folder + "/proxy.log");
}

Cluster::~Cluster()
{
    m_nodes.clear();
    m_servers.clear();
    m_proxy.reset();
    m_platform.reset();
    if (std::getenv("VANILLANOTCH_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    }
}

Cluster::Link Cluster::makeLink(const std::string &name, const std::string &target)
{
    const HttpReply reply = send(m_proxy->address("address"), "POST", "/links?target=" + target);
    const Json json = Json::parse(reply.body);
    Link link{json.at("id").get<std::size_t>(), json.at("address").get<std::string>()};
    m_links[name] = link;
    return link;
}

void Cluster::addServer(const ServerOptions &options)
{
    std::vector<std::string> arguments{"--name=" + options.name, "--ledger=" + m_ledgerFile};
    arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
    ServerEntry entry;
    entry.options = options;
    entry.process = std::make_unique<Process>(binaryPath("tests/backend_standin"), arguments, m_folder + "/" + options.name + ".log");
    entry.address = entry.process->address("address");
    if (options.behindProxy) {
        entry.address = makeLink(options.name, entry.address).address;
    }
    m_servers[options.name] = std::move(entry);
}

void Cluster::addDefaultServers()
{
    for (const std::string capability : {"encoder", "retriever", "reranker", "model", "payout"}) {
        for (const std::string number : {"1", "2"}) {
            ServerOptions options;
            options.name = capability + "-" + number;
            options.capability = capability;
            options.behindProxy = true;
            addServer(options);
        }
    }
}

void Cluster::addNode(const std::string &name, const std::string &dataCentre, const std::string &extraSettings, bool platformLink)
{
    const std::string platform = platformLink ? makeLink(name, platformAddress()).address : platformAddress();
    const std::string file = m_folder + "/" + name + ".yaml";
    std::ofstream(file) << "node: " << name << "\ndata_centre: " << dataCentre << "\nplatform_address: " << platform
                        << "\noperator_key_sha256: " << sha256Hex(OperatorKey)
                        << (extraSettings.find("peer_secret") == std::string::npos ? std::string("\npeer_secret: ") + PeerSecret : "")
                        << "\nbalancer_grace_ms: 300\n"
                        << (extraSettings.find("_interval_ms") == std::string::npos ? "head_interval_ms: 200\nexchange_interval_ms: 300\n" : "")
                        << extraSettings;
    NodeEntry entry;
    entry.dataCentre = dataCentre;
    entry.process = std::make_unique<Process>(binaryPath("src/vanillanotchd"), std::vector<std::string>{"--settings=" + file}, m_folder + "/" + name + ".log");
    m_nodes[name] = std::move(entry);
}

void Cluster::publishVms(const std::set<std::string> &leaving)
{
    Json vms = Json::array();
    for (auto &[name, entry] : m_nodes) {
        if (entry.process->running()) {
            vms.push_back(Json{{"name", name},
                               {"role", "entry"},
                               {"state", leaving.count(name) == 1 ? "leaving" : "live"},
                               {"data_centre", entry.dataCentre},
                               {"peer_address", entry.process->address("peers")},
                               {"operator_address", entry.process->address("operators")}});
        }
    }
    for (const auto &[name, entry] : m_servers) {
        vms.push_back(
            Json{{"name", name}, {"role", "backend"}, {"state", leaving.count(name) == 1 ? "leaving" : "live"}, {"data_centre", entry.options.dataCentre}});
    }
    send(platformAddress(), "PUT", "/v1/vms", Json{{"vms", vms}}.dump());
}

std::string Cluster::configurationYaml(const std::string &presetInForce) const
{
    std::set<std::string> dataCentres{"dc1"};
    std::string servers;
    for (const auto &[name, entry] : m_servers) {
        dataCentres.insert(entry.options.dataCentre);
        servers += "  - {name: " + name + ", data_centre: " + entry.options.dataCentre + ", address: \"" + entry.address + "\", capabilities: ["
            + entry.options.capability + "], concurrency: 8, price_per_second: " + std::to_string(entry.options.price)
            + (entry.options.softwareVersion.empty() ? "" : ", software_version: " + entry.options.softwareVersion) + "}\n";
    }
    for (const auto &[name, entry] : m_nodes) {
        dataCentres.insert(entry.dataCentre);
    }
    std::string yaml = "data_centres:\n";
    for (const std::string &dataCentre : dataCentres) {
        yaml += "  - {name: " + dataCentre + ", region: test}\n";
    }
    yaml += "backend_servers:\n" + servers;
    const std::string first = "      - {name: encode, kind: encoding, capability: encoder, typical_ms: 10}\n"
                              "      - {name: retrieve, kind: retrieval, capability: retriever, typical_ms: 10}\n";
    const std::string rerank = "      - {name: rerank, kind: reranking, capability: reranker, typical_ms: 10";
    const std::string generate =
        "      - {name: generate, kind: generation, capability: model, typical_ms: 60, max_tokens: " + std::to_string(ModelTokens) + "}\n";
    yaml += "pipelines:\n  - name: answer\n    stages:\n" + first + rerank + "}\n" + generate;
    yaml += "  - name: certificate\n    record_answer: true\n    stages:\n" + first + rerank + "}\n" + generate;
    yaml += "  - name: report\n    stages:\n" + first + rerank + ", keep_result: true}\n" + generate;
    yaml += "  - name: payout\n    stages:\n      - {name: encode, kind: encoding, capability: encoder, typical_ms: 10}\n"
            "      - {name: release, kind: service, capability: payout, path: /payout, typical_ms: 10, idempotent: false}\n";
    yaml += "client_accounts:\n  - {name: caller, key_sha256: " + sha256Hex("caller-key")
        + ", requests_per_second: 100000, burst: 100000, concurrency: 10000}\n"
          "  - {name: small, key_sha256: "
        + sha256Hex("small-key") + ", requests_per_second: 1, burst: 2, concurrency: 1, pipelines: [answer]}\n";
    yaml += "presets:\n  - {name: ordinary, cost_weight: 0.3}\n  - {name: peak, cost_weight: 0}\n  - {name: maintenance, cost_weight: 0.8}\n";
    return yaml + "preset_in_force: " + presetInForce + "\n";
}

HttpReply Cluster::sendOperatorRequest(const std::string &nodeName, const std::string &method, const std::string &path, const std::string &body,
                                       const std::string &author)
{
    return send(node(nodeName).address("operators"), method, path, body, {{"Authorization", std::string("Bearer ") + OperatorKey}, {"X-Operator", author}});
}

HttpReply Cluster::apply(const std::string &nodeName, const std::string &yaml, const std::string &author)
{
    return sendOperatorRequest(nodeName, "POST", "/v1/apply", yaml, author);
}

void Cluster::start()
{
    publishVms();
    const HttpReply applied = apply(m_nodes.begin()->first, configurationYaml());
    if (applied.status != 200 || !awaitRevision(1, nodeNames())) {
        std::fprintf(
            stderr,
            "cluster did not start: apply returned status %d (200 expected), or a node did not reach revision 1; reply body: %s; failure of the call: %s\n",
            applied.status, applied.body.c_str(), applied.headers.count(FailureField) > 0 ? applied.headers.at(FailureField).c_str() : "none");
        std::abort();
    }
}

CallResult Cluster::call(const std::string &nodeName, const std::string &pipeline, const std::string &input, const CallOptions &options)
{
    return callPipeline(callerAddress(nodeName), pipeline, input, options);
}

Json Cluster::status(const std::string &nodeName)
{
    return Json::parse(sendOperatorRequest(nodeName, "GET", "/v1/status").body, nullptr, false);
}

std::uint64_t Cluster::revision(const std::string &nodeName)
{
    const Json json = status(nodeName);
    return json.is_object() ? json.value("revision", std::uint64_t{0}) : 0;
}

bool Cluster::awaitRevision(std::uint64_t wanted, const std::vector<std::string> &nodes)
{
    std::string behind;
    const bool reached = eventually([&] {
        for (const std::string &name : nodes) {
            if (const std::uint64_t current = revision(name); current < wanted) {
                behind = name + " at revision " + std::to_string(current);
                return false;
            }
        }
        return true;
    });
    if (!reached) {
        std::fprintf(stderr, "revision %llu was not reached in time; last node found behind: %s\n", static_cast<unsigned long long>(wanted), behind.c_str());
    }
    return reached;
}

void Cluster::controlServer(const std::string &name, const std::string &modes)
{
    send(server(name).address("address"), "POST", "/control?" + modes);
}

void Cluster::controlPlatform(const std::string &modes)
{
    send(platformAddress(), "POST", "/control?" + modes);
}

void Cluster::setLinkMode(const std::string &name, const std::string &mode)
{
    send(m_proxy->address("address"), "POST", "/links/" + std::to_string(m_links.at(name).id) + "?mode=" + mode);
}

std::vector<LedgerLine> Cluster::ledger() const
{
    return readLedger(m_ledgerFile);
}

Process &Cluster::node(const std::string &name)
{
    return *m_nodes.at(name).process;
}

Process &Cluster::server(const std::string &name)
{
    return *m_servers.at(name).process;
}

std::vector<std::string> Cluster::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_nodes) {
        names.push_back(name);
    }
    return names;
}

std::string Cluster::callerAddress(const std::string &nodeName)
{
    return node(nodeName).address("callers");
}

std::string Cluster::platformAddress() const
{
    return m_platform->address("address");
}

} // namespace vanillanotch::test
