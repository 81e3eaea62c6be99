#include "entry_cluster.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Net/ServerSocket.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <linux/filter.h>
#include <random>
#include <set>
#include <sstream>
#include <sys/socket.h>

namespace vanillanotch::test
{

namespace
{
constexpr unsigned StreamEvents = 8; // number of events in each stream of the engine stand-in
constexpr unsigned StagePieces = 3; // number of pieces (parts that can run separately) into which a request divides each stage

std::string binaryPath(const std::string &path)
{
    return std::string(VANILLANOTCH_BINARIES) + "/" + path;
}

std::string base64(const std::string &text)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return out.str();
}

bool isStream(CallKind kind)
{
    return kind == CallKind::StagedStream || kind == CallKind::ResumableStream;
}
} // namespace

std::string freeAddress()
{
    constexpr int FirstPort = 15000;
    constexpr int LastPort = 31999; // Linux uses ports from 32768 on for outgoing connections
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> used;
    for (;;) {
        const int port = std::uniform_int_distribution<int>(FirstPort, LastPort)(random);
        if (!used.insert(port).second) {
            continue;
        }
        const std::string address = "127.0.0.1:" + std::to_string(port);
        try {
            Poco::Net::ServerSocket socket;
            // The socket's constructor isn't used to bind: it would share a port that another test run uses.
            socket.bind(Poco::Net::SocketAddress(address), true, false);
            return address;
        } catch (const Poco::Exception &) {
            continue; // the port is in use: try another one
        }
    }
}

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

std::string encodeRequest(const EntryCall &call)
{
    static const std::map<CallKind, std::string> RequestLines = {{CallKind::Idempotent, "GET /read/1"},
                                                                 {CallKind::NonIdempotent, "POST /pay/1"},
                                                                 {CallKind::StagedStream, "POST /draft/1"},
                                                                 {CallKind::ResumableStream, "POST /explain/1"}};
    std::string text = RequestLines.at(call.kind) + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + call.attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(call.deadline.count()) + "\r\nAuthorization: Bearer " + call.apiKey + "\r\n";
    if (isStream(call.kind)) {
        const std::string pieces = std::to_string(StagePieces);
        text += "X-Model: m\r\nX-Token-Count: 100,8\r\nX-Prompt-Prefix: " + call.prompt + "\r\nX-Pieces: " + pieces + "," + pieces + "\r\nX-Piece-Key: abc\r\n";
    }
    if (!call.resumes.empty()) {
        text += "Resumes: " + call.resumes + "\r\n";
    }
    if (!call.lastEventId.empty()) {
        text += "Last-Event-Id: " + call.lastEventId + "\r\n";
    }
    return text + (call.kind == CallKind::Idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
}

EntryAnswer callEntry(const std::string &address, const EntryCall &call)
{
    EntryAnswer answer;
    NeverCancelled neverCancelled;
    UpstreamSettings settings;
    settings.connectTimeout = std::chrono::seconds(1);
    UpstreamCall upstream(settings);
    const TimePoint until = std::chrono::steady_clock::now() + call.deadline + std::chrono::seconds(1);
    if (!upstream.open(address, until, neverCancelled)) {
        return answer;
    }
    const auto head = upstream.exchange(encodeRequest(call), until, neverCancelled);
    if (!head) {
        return answer;
    }
    answer.status = head->status;
    answer.hasSeal = head->headers.find("X-Server-Seal") != nullptr;
    if (const std::string *seconds = head->headers.find("Retry-After")) {
        answer.retryAfter = std::stod(*seconds);
    }
    for (;;) {
        const auto complete = upstream.readBody(answer.body, until, neverCancelled);
        if (!complete || *complete) {
            answer.complete = complete.has_value();
            return answer;
        }
    }
}

int statusWithKey(const std::string &address, const std::string &apiKey)
{
    static std::atomic<int> number{0};
    EntryCall call;
    call.apiKey = apiKey;
    call.attempt = "k" + std::to_string(++number);
    call.deadline = std::chrono::milliseconds(1000);
    return callEntry(address, call).status;
}

std::string describeFault(const EntryCall &call, const EntryAnswer &answer)
{
    if (answer.status != 200) {
        return std::string();
    }
    if (!answer.hasSeal) {
        return "status 200 without the header X-Server-Seal";
    }
    std::string expected = "answer to " + call.attempt;
    if (isStream(call.kind)) {
        expected.clear();
        for (unsigned id = 1; id <= StreamEvents; ++id) {
            expected += "id: " + std::to_string(id) + "\ndata: " + call.attempt + "." + std::to_string(id) + "\n\n";
        }
    }
    if (answer.complete && answer.body != expected) {
        return "body differs from the expected one: " + answer.body.substr(0, 200);
    }
    if (!answer.complete && expected.compare(0, answer.body.size(), answer.body) != 0) {
        return "incomplete stream with wrong events: " + answer.body.substr(0, 200);
    }
    return std::string();
}

//-----------------------------------------------------------------------------
// [CLUSTER]
//-----------------------------------------------------------------------------

EntryCluster::EntryCluster(const std::string &name)
    : m_folder((std::filesystem::temp_directory_path() / ("vanillanotch-" + name + "-" + std::to_string(::getpid()))).string())
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    std::ofstream(m_folder + "/ledger");
    m_darkness = std::make_unique<Poco::Net::ServerSocket>(Poco::Net::SocketAddress("127.0.0.1:0"));
    std::array<sock_filter, 1> dropAll{{{BPF_RET | BPF_K, 0, 0, 0}}};
    const sock_fprog program{dropAll.size(), dropAll.data()};
    (void)::setsockopt(m_darkness->impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    m_store = std::make_unique<Process>(binaryPath("tests/store_standin"), std::vector<std::string>{}, m_folder + "/store.log");
    m_proxy = std::make_unique<Process>(binaryPath("tests/fault_proxy"), std::vector<std::string>{}, m_folder + "/proxy.log");
}

EntryCluster::~EntryCluster()
{
    m_nodes.clear();
    m_servers.clear();
}

void EntryCluster::startServer(ServerEntry &entry)
{
    entry.id = entry.service + "-" + std::to_string(++m_startedInstances);
    startServerProcess(entry);
}

void EntryCluster::startServerProcess(ServerEntry &entry)
{
    std::vector<std::string> arguments = entry.arguments;
    arguments.insert(arguments.end(),
                     {"--name=" + entry.id, "--service=" + entry.service, "--store=" + m_store->address("address"), "--ledger=" + m_folder + "/ledger",
                      "--proxy=" + m_proxy->address("address")});
    entry.process = std::make_unique<Process>(binaryPath("tests/instance_standin"), arguments, m_folder + "/" + entry.id + ".log");
}

void EntryCluster::addServer(const std::string &service, const std::string &kind, const std::vector<std::string> &arguments)
{
    ServerEntry entry;
    entry.service = service;
    entry.arguments = arguments;
    entry.arguments.push_back("--kind=" + kind);
    startServer(entry);
    m_servers.push_back(std::move(entry));
}

void EntryCluster::addDefaultServers()
{
    for (int i = 0; i < 2; ++i) {
        addServer("plain", "plain");
        addServer("engine", "engine");
        addServer("first", "stage");
        addServer("second", "stage");
    }
}

void EntryCluster::restartServer(std::size_t serverIndex)
{
    ServerEntry &entry = m_servers.at(serverIndex);
    entry.process->kill();
    removeServerEntry(serverIndex);
    startServer(entry);
}

void EntryCluster::replaceProcess(std::size_t serverIndex, const std::vector<std::string> &arguments)
{
    ServerEntry &entry = m_servers.at(serverIndex);
    entry.process->kill();
    entry.arguments = arguments;
    startServerProcess(entry);
}

void EntryCluster::removeServerEntry(std::size_t serverIndex)
{
    const Json row{{"Table", "servers"}, {"part", ""}, {"Key", m_servers.at(serverIndex).id}};
    transact(Json{{"Remove", Json::array({row})}}.dump());
}

void EntryCluster::startNode(NodeEntry &entry) const
{
    entry.process =
        std::make_unique<Process>(Process::NoWait{}, binaryPath("src/vanillanotch-entryd"), std::vector<std::string>{"--settings=" + entry.settingsFile},
                                  m_folder + "/" + entry.name + ".log", entry.maxDescriptors,
                                  entry.partitionFile.empty() ? std::vector<std::string>{}
                                                              : std::vector<std::string>{"LD_PRELOAD=" + binaryPath("tests/libpartition_shim.so"),
                                                                                         "PARTITION_FILE=" + entry.partitionFile});
}

void EntryCluster::partitionFromServers(std::size_t nodeIndex, Partition partition) const
{
    const std::string &file = m_nodes.at(nodeIndex).partitionFile;
    {
        std::ofstream out(file + ".new");
        out << (partition == Partition::None ? "pass" : partition == Partition::Refused ? "0" : std::to_string(m_darkness->address().port()));
        for (const ServerEntry &server : m_servers) {
            const std::string registered = server.process->address("registered");
            out << ' ' << registered.substr(registered.find(':') + 1);
        }
    }
    std::filesystem::rename(file + ".new", file); // the node never reads a part of it
}

void EntryCluster::replaceServers(const std::string &service, const std::string &address, unsigned count)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (m_servers[i].service == service) {
            m_servers[i].process->kill();
            removeServerEntry(i);
        }
    }
    const Json entry{{"Service", service}, {"Address", address},   {"Zone", "dc1"}, {"Version", "v1"}, {"State", "ready"},
                     {"Slots", 64},        {"ColdRemainingMs", 0}, {"Sequence", 1}, {"born", 1}};
    Json rows = Json::array();
    for (unsigned i = 0; i < count; ++i) {
        const std::string id = service + "-" + std::to_string(++m_startedInstances);
        rows.push_back(Json{{"Table", "servers"}, {"part", ""}, {"Key", id}, {"Value", base64(entry.dump())}});
    }
    transact(Json{{"Writes", rows}}.dump());
}

void EntryCluster::addNode(const std::string &dataCentre, const NodeOptions &options)
{
    NodeEntry entry;
    entry.maxDescriptors = options.maxDescriptors;
    entry.partitionFile = options.separable ? m_folder + "/entry-" + std::to_string(m_nodes.size() + 1) + ".partition" : std::string();
    entry.name = "entry-" + std::to_string(m_nodes.size() + 1);
    entry.settingsFile = m_folder + "/" + entry.name + ".yaml";
    entry.callerAddress = freeAddress();
    entry.readinessAddress = freeAddress();
    const Json link = Json::parse(send(m_proxy->address("address"), "POST", "/links?target=" + m_store->address("address")).body);
    entry.storeLink = link.at("id").get<std::size_t>();
    std::ofstream(entry.settingsFile) << "node: " << entry.name << "\ndata_centre: " << dataCentre << "\ncaller_address: " << entry.callerAddress
                                      << "\nreadiness_address: " << entry.readinessAddress << "\npeer_address: " << freeAddress()
                                      << "\nstore_address: " << link.at("address").get<std::string>() << "\nretry_extra: 50\n"
                                      << options.settings;
    startNode(entry);
    m_nodes.push_back(std::move(entry));
}

void EntryCluster::restartNode(std::size_t nodeIndex)
{
    m_nodes.at(nodeIndex).process->kill();
    startNode(m_nodes.at(nodeIndex));
}

void EntryCluster::transact(const std::string &body) const
{
    (void)eventually([&] {
        return send(m_store->address("address"), "POST", "/api/rows-tx", body).status == 200;
    });
}

void EntryCluster::writeConfiguration(const std::vector<std::string> &apiKeys)
{
    const auto route = [this](const std::string &name, const std::string &kind, const std::string &service) {
        return Json{{"Name", name},           {"Host", "shop.example"}, {"Prefix", "/" + name + "/"},
                    {"Kind", kind},           {"Service", service},     {"TimeoutMs", m_routeTimeout.count()},
                    {"TargetLatencyMs", 500}, {"Priority", 1},          {"MaxAttempts", 2},
                    {"AllowAnonymous", false}};
    };
    Json draft = route("draft", "streaming", "engine");
    draft["Stages"] = {Json{{"Service", "first"}, {"After", Json::array()}, {"Bytes", 1000}}, Json{{"Service", "second"}, {"After", {0}}, {"Bytes", 1000}}};
    Json explain = draft;
    explain["Name"] = "explain";
    explain["Prefix"] = "/explain/";
    explain["StreamResume"] = true;
    const Json pieces{{"Slots", 1}, {"Queue", 2}, {"Batch", 8}, {"CallMs", 15}, {"ItemMs", 0}, {"RoomMb", 10}, {"HandleS", 4}};
    Json configuration{{"Version", ++m_version},
                       {"Routes", {route("read", "idempotent", "plain"), route("pay", "non_idempotent", "plain"), draft, explain}},
                       {"Services",
                        {Json{{"Name", "plain"}}, Json{{"Name", "engine"}, {"Engine", {{"Slots", 8}}}}, Json{{"Name", "first"}, {"Pieces", pieces}},
                         Json{{"Name", "second"}, {"Pieces", pieces}}}},
                       {"Tenants", {Json{{"Name", "tenant"}, {"ApiKeys", apiKeys}}}},
                       {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", m_maxBodyBytes}, {"HeaderTimeoutMs", 2000}, {"IdleTimeoutMs", 15000}}}};
    putConfiguration(configuration.dump());
}

void EntryCluster::writeMalformedConfiguration()
{
    ++m_version;
    putConfiguration("{\"Version\": \"none\", \"Routes\": 7");
}

void EntryCluster::putConfiguration(const std::string &document) const
{
    const Json row{{"Table", "op"}, {"part", ""}, {"Key", "config"}, {"Value", base64(document)}};
    transact(Json{{"Writes", Json::array({row})}}.dump());
}

void EntryCluster::setEvacuated(const std::string &dataCentre, bool evacuated) const
{
    Json row{{"Table", "op"}, {"part", ""}, {"Key", "evacuate/" + dataCentre}};
    if (evacuated) {
        row["Value"] = base64("{}");
    }
    transact(Json{{evacuated ? "Writes" : "Remove", Json::array({row})}}.dump());
}

bool EntryCluster::ready(std::size_t nodeIndex) const
{
    return send(m_nodes.at(nodeIndex).readinessAddress, "GET", "/api/readiness").status == 200;
}

bool EntryCluster::awaitReady(Duration timeout)
{
    unsigned calls = 0;
    return eventually(
        [&] {
            for (std::size_t node = 0; node < nodeCount(); ++node) {
                EntryCall call;
                call.kind = CallKind::StagedStream;
                call.attempt = "warm-" + std::to_string(node) + "-" + std::to_string(calls++);
                if (!ready(node) || callEntry(callerAddress(node), call).status != 200) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

void EntryCluster::controlStore(const std::string &query) const
{
    (void)send(m_store->address("address"), "POST", "/control?" + query);
}

void EntryCluster::controlServer(std::size_t serverIndex, const std::string &query) const
{
    (void)send(m_servers.at(serverIndex).process->address("address"), "POST", "/control?" + query);
}

void EntryCluster::setServerLink(std::size_t serverIndex, const std::string &mode) const
{
    (void)send(m_proxy->address("address"), "POST", "/links/" + m_servers.at(serverIndex).process->address("link") + "?mode=" + mode);
}

void EntryCluster::setStoreLink(std::size_t nodeIndex, const std::string &mode) const
{
    (void)send(m_proxy->address("address"), "POST", "/links/" + std::to_string(m_nodes.at(nodeIndex).storeLink) + "?mode=" + mode);
}

std::vector<Execution> EntryCluster::executions() const
{
    std::vector<Execution> found;
    std::ifstream file(m_folder + "/ledger");
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string event;
        Execution execution;
        std::string nextWord; // for a resumed stream: id of the last event before the resumption; otherwise "tenant=NAME"
        words >> event >> execution.instance >> execution.attempt >> nextWord;
        execution.resumed = !nextWord.empty() && nextWord.find('=') == std::string::npos;
        if (event == "run") {
            found.push_back(execution);
        }
    }
    return found;
}

std::vector<std::string> EntryCluster::ledgerAttempts(const std::string &event, std::size_t serverIndex) const
{
    const std::string begin = event + " " + serverId(serverIndex) + " ";
    std::ifstream file(m_folder + "/ledger");
    std::string line;
    std::vector<std::string> attempts;
    while (std::getline(file, line)) {
        if (line.rfind(begin, 0) == 0) {
            attempts.push_back(line.substr(begin.size(), line.find(' ', begin.size()) - begin.size()));
        }
    }
    return attempts;
}

std::size_t EntryCluster::countLedgerLines(const std::string &event, std::size_t serverIndex) const
{
    return ledgerAttempts(event, serverIndex).size();
}

std::vector<std::string> EntryCluster::foreignInputLines() const
{
    std::vector<std::string> lines;
    std::ifstream file(m_folder + "/ledger");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("wrong ", 0) == 0) {
            lines.push_back(line);
        }
    }
    return lines;
}

std::unique_ptr<EntryCluster> makeTwoNodeCluster(const std::string &name)
{
    auto cluster = std::make_unique<EntryCluster>(name);
    cluster->addDefaultServers();
    cluster->writeConfiguration({"key-1"});
    cluster->addNode("dc1");
    cluster->addNode("dc2");
    return cluster;
}

} // namespace vanillanotch::test
