// Stand-in for an instance of a service on the users' platform. By --kind it answers plain requests (plain), sends event streams
// (engine) or executes stage calls (stage). A stage call has a list of pieces, each a part of the work of one stage of a request.
//
// Writes its entry (address, state) into the store, where nodes find it. On SIGTERM it sets the state to draining, serves for
// another drain_ms, then removes its entry and exits after drain_ms more. Appends these lines to the ledger file:
//   run INSTANCE ATTEMPT LAST-EVENT-ID tenant=TENANT   execution of a plain request or stream begins. LAST-EVENT-ID: header,
//     the event after which a stream is resumed; empty: it isn't resumed. TENANT: header X-Tenant
//   stage INSTANCE ATTEMPT   execution of a piece of a request's stage begins
//   call INSTANCE PIECES   a stage call has come, whether it is executed or refused. PIECES: ATTEMPT.STAGE.PIECE of each, separated by commas
//   paused INSTANCE ATTEMPT   a plain request or stream was refused because of the control `pause`
//   wrong INSTANCE ATTEMPT input=NAME | piece-input=NAME   the instance was given the input NAME, which belongs to another
//     request; input: with a plain request or stream, piece-input: with a stage call
//
// A plain request or stream may ask for a long answer by its query: bytes=N makes a plain answer, or the data of each event, at least N bytes long, and
// events=N asks for a stream of N events.
//
//   POST /control?fail=PERCENT   answers this percentage of the plain requests and streams with 500
//   POST /control?slow=FACTOR    multiplies all service times by this factor
//   POST /control?leaving=1      says in all answers that it leaves, and goes on serving
//   POST /control?limit=RATE     states in all answers that it takes so many requests a second; 0: states no limit
//   POST /control?pause=SECONDS  refuses plain requests and streams with 503, asking for a pause of so many seconds; 0: serves them again
#include "standin.h"

#include <nlohmann/json.hpp>

#include <Poco/Base64Encoder.h>

#include <fcntl.h>
#include <random>
#include <sstream>
#include <unistd.h>

DEFINE_string(name, "", "instance id");
DEFINE_string(service, "", "service that the instance belongs to");
DEFINE_string(data_centre, "dc1", "data centre");
DEFINE_string(store, "", "address of the store");
DEFINE_string(proxy, "", "address of the fault proxy through which nodes reach the instance; empty: none");
DEFINE_string(ledger, "", "path of the ledger file");
DEFINE_string(kind, "plain", "plain, engine or stage; an engine answers plain requests with event streams");
DEFINE_int32(work_ms, 20, "service time of a plain request, or time until an engine's first event, in ms");
DEFINE_int32(events, 8, "number of events in a stream");
DEFINE_string(software_version, "v1", "version of its software, as in its entry");
DEFINE_bool(signed_events, false, "the data of each event ends with the version");
DEFINE_int32(gap_ms, 20, "time between two events of a stream, in ms");
DEFINE_int32(drain_ms, 1500, "time in ms that it serves on in the state draining, and again after its entry is removed");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

constexpr int StageCallMs = 15; // service time of one stage call
constexpr int StageQueue = 2; // stage calls that may wait while one runs; more are refused with 503
constexpr int PlainSlots = 64; // plain requests and streams that run at the same time; more are refused with 503

class Instance
{
public:
    explicit Instance(int ledger)
        : m_ledger(ledger)
    {
    }

    void handle(HttpExchange &exchange)
    {
        const std::string path = exchange.path();
        if (path == "/control") {
            m_failPercent = exchange.query("fail").empty() ? m_failPercent.load() : std::stoi(exchange.query("fail"));
            m_slowFactor = exchange.query("slow").empty() ? m_slowFactor.load() : std::stoi(exchange.query("slow"));
            m_leaving = exchange.query("leaving").empty() ? m_leaving.load() : exchange.query("leaving") == "1";
            m_limit = exchange.query("limit").empty() ? m_limit.load() : std::stoi(exchange.query("limit"));
            m_pauseSeconds = exchange.query("pause").empty() ? m_pauseSeconds.load() : std::stoi(exchange.query("pause"));
            exchange.reply(200, "text/plain", "ok");
            return;
        }
        exchange.setHeader("X-Instance-Id", FLAGS_name);
        if (m_leaving) {
            exchange.setHeader("Server-Leaving", "1");
        }
        if (m_limit > 0) {
            exchange.setHeader("Server-Limit", std::to_string(m_limit));
        }
        const std::string expected = exchange.header("X-Expect-Instance");
        if (!expected.empty() && expected != FLAGS_name) {
            exchange.reply(421, "text/plain", "another instance");
        } else if (path == "/api/stage-run") {
            runPieces(exchange);
        } else if (path == "/api/stage-free") {
            exchange.reply(200, "application/json", "{}");
        } else {
            run(exchange);
        }
    }

    void writeLedger(const std::string &line) const
    {
        const std::string text = line + "\n";
        if (::write(m_ledger, text.data(), text.size()) < 0) {
            std::abort(); // a test that misses an execution in the ledger would draw wrong conclusions
        }
    }

private:
    void simulateWork(int milliseconds) const
    {
        standin::sleepFor(std::chrono::milliseconds(milliseconds * m_slowFactor));
    }

    bool shouldFail()
    {
        thread_local std::mt19937 random{std::random_device{}()};
        return static_cast<int>(random() % 100) < m_failPercent;
    }

    void refuse(HttpExchange &exchange)
    {
        exchange.setHeader("X-Not-Executed", "1");
        exchange.reply(503, "text/plain", "full");
    }

    void run(HttpExchange &exchange)
    {
        const std::string attempt = exchange.header("X-Attempt-Id");
        (void)exchange.readBody();
        if (attempt.empty()) {
            exchange.setHeader("X-Not-Executed", "1");
            exchange.reply(400, "text/plain", "no attempt");
            return;
        }
        if (m_pauseSeconds > 0) {
            writeLedger("paused " + FLAGS_name + " " + attempt);
            exchange.setHeader("Retry-After", std::to_string(m_pauseSeconds));
            refuse(exchange);
            return;
        }
        if (++m_plainCalls > PlainSlots) {
            --m_plainCalls;
            refuse(exchange);
            return;
        }
        writeLedger("run " + FLAGS_name + " " + attempt + " " + exchange.header("Last-Event-Id") + " tenant=" + exchange.header("X-Tenant"));
        checkInputs(exchange, attempt);
        simulateWork(FLAGS_work_ms);
        exchange.setHeader("X-Attempt-Id", attempt);
        exchange.setHeader("X-Server-Seal", FLAGS_name + "." + attempt);
        if (shouldFail()) {
            exchange.reply(500, "text/plain", "failed " + attempt);
        } else if (FLAGS_kind == "engine") {
            stream(exchange, attempt);
        } else {
            exchange.reply(200, "text/plain", padded(exchange, "answer to " + attempt));
        }
        --m_plainCalls;
    }

    // Writes a `wrong` line to the ledger for each input that belongs to another request. X-Inputs lists handles of stage results,
    // ADDRESS/ATTEMPT.STAGE.PIECE as made by runPieces(): one whose ATTEMPT isn't `attempt` belongs to another request.
    void checkInputs(HttpExchange &exchange, const std::string &attempt) const
    {
        std::istringstream inputs(exchange.header("X-Inputs"));
        std::string input;
        while (std::getline(inputs, input, ',')) {
            if (input.find("/" + attempt + ".") == std::string::npos) {
                writeLedger("wrong " + FLAGS_name + " " + attempt + " input=" + input);
            }
        }
    }

    static std::string padded(HttpExchange &exchange, std::string text)
    {
        const std::string bytes = exchange.query("bytes");
        text.resize(std::max(text.size(), bytes.empty() ? std::size_t{0} : std::stoul(bytes)), 'x');
        return text;
    }

    void stream(HttpExchange &exchange, const std::string &attempt)
    {
        const int events = exchange.query("events").empty() ? FLAGS_events : std::stoi(exchange.query("events"));
        const std::string lastEventId = exchange.header("Last-Event-Id");
        std::ostream &out = exchange.beginStream("text/event-stream");
        for (int id = lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1; id <= events; ++id) {
            out << "id: " << id << "\ndata: " << padded(exchange, attempt + "." + std::to_string(id))
                << (FLAGS_signed_events ? " " + FLAGS_software_version : "") << "\n\n"
                << std::flush;
            if (!out) {
                return; // the caller disconnected
            }
            simulateWork(FLAGS_gap_ms);
        }
    }

    static std::string piecesOf(const std::string &call)
    {
        std::string pieces;
        for (const Json &item : Json::parse(call, nullptr, false).value("Items", Json::array())) {
            pieces += (pieces.empty() ? "" : ",") + item.at("Id").get<std::string>() + "." + item.at("Stage").dump() + "." + item.at("Piece").dump();
        }
        return pieces;
    }

    void runPieces(HttpExchange &exchange)
    {
        const auto text = exchange.readBody();
        writeLedger("call " + FLAGS_name + " " + piecesOf(text ? *text : std::string()));
        if (!text || ++m_stageCalls > StageQueue + 1) {
            --m_stageCalls;
            refuse(exchange);
            return;
        }
        const std::unique_lock<std::mutex> lock(m_stageMutex);
        Json reply{{"Items", Json::array()}};
        const Json request = Json::parse(*text);
        for (const Json &item : request.at("Items")) {
            const std::string attempt = item.at("Id").get<std::string>();
            writeLedger("stage " + FLAGS_name + " " + attempt);
            for (const Json &input : item.value("Inputs", Json::array())) {
                if (input.get<std::string>().find("/" + attempt + ".") == std::string::npos) {
                    writeLedger("wrong " + FLAGS_name + " " + attempt + " piece-input=" + input.get<std::string>());
                }
            }
            const std::string name = attempt + "." + std::to_string(item.at("Stage").get<int>()) + "." + std::to_string(item.at("Piece").get<int>());
            reply["Items"].push_back(Json{{"Handle", m_address + "/" + name}});
        }
        simulateWork(StageCallMs);
        --m_stageCalls;
        exchange.reply(200, "application/json", reply.dump());
    }

public:
    std::string m_address; // at which nodes reach this instance; each handle of a result begins with it

private:
    const int m_ledger; // file descriptor of the ledger
    std::atomic<int> m_failPercent{0};
    std::atomic<int> m_slowFactor{1};
    std::atomic<bool> m_leaving{false};
    std::atomic<int> m_limit{0};
    std::atomic<int> m_pauseSeconds{0};
    std::atomic<int> m_plainCalls{0};
    std::atomic<int> m_stageCalls{0};
    std::mutex m_stageMutex; // held while a stage call is executed, so that one runs at a time
};

// Writes the instance's entry into the store, or removes it when `state` is "gone". Tries up to 200 times, with a timeout of 1 s
// and a pause of 100 ms between attempts, then returns without an error.
void publishState(const std::string &state, const std::string &address)
{
    Json entry{
        {"Service", FLAGS_service}, {"Address", address}, {"Zone", FLAGS_data_centre}, {"Version", FLAGS_software_version}, {"Slots", 8}, {"State", state},
        {"ColdRemainingMs", 0},     {"Sequence", 1}};
    std::ostringstream value;
    Poco::Base64Encoder encoder(value);
    encoder.rdbuf()->setLineLength(0);
    encoder << entry.dump();
    encoder.close();
    Json row{{"Table", "servers"}, {"part", ""}, {"Key", FLAGS_name}};
    Json transaction{{"Precondition", Json::array()}, {"Writes", Json::array()}, {"Remove", Json::array()}};
    if (state != "gone") {
        row["Value"] = value.str();
    }
    transaction[state == "gone" ? "Remove" : "Writes"].push_back(row);
    HttpClient client;
    HttpClientRequest request;
    request.path = "/api/rows-tx";
    request.body = transaction.dump();
    for (int attempts = 0; attempts < 200; ++attempts) {
        const auto reply = client.call(FLAGS_store, request, std::chrono::steady_clock::now() + std::chrono::seconds(1));
        if (reply && reply->status == 200) {
            return;
        }
        standin::sleepFor(std::chrono::milliseconds(100));
    }
}

// Creates a link of the fault proxy to this instance. Returns its id and its address.
std::pair<std::size_t, std::string> createProxyLink(const std::string &address)
{
    HttpClient client;
    HttpClientRequest request;
    request.path = "/links?target=" + address;
    const auto reply = client.call(FLAGS_proxy, request, std::chrono::steady_clock::now() + std::chrono::seconds(10));
    if (!reply || reply->status != 200) {
        std::cerr << "the fault proxy did not create a link to this instance" << std::endl;
        std::_Exit(1);
    }
    const Json link = Json::parse(reply->body);
    return {link.at("id").get<std::size_t>(), link.at("address").get<std::string>()};
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = standin::blockTerminationSignals();
    initLog(LogLevel::Error, FLAGS_name);
    Instance instance(::open(FLAGS_ledger.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    const standin::StandinServer server(FLAGS_name, 256, [&instance](HttpExchange &exchange) {
        instance.handle(exchange);
    });
    const auto [link, address] = FLAGS_proxy.empty() ? std::pair(std::size_t{0}, server.address()) : createProxyLink(server.address());
    instance.m_address = address;
    std::cout << "listening address=" << server.address() << " link=" << link << " registered=" << address << std::endl;
    publishState("ready", address);
    standin::awaitTerminationSignal(signals);
    publishState("draining", address);
    standin::sleepFor(std::chrono::milliseconds(FLAGS_drain_ms));
    publishState("gone", address);
    standin::sleepFor(std::chrono::milliseconds(FLAGS_drain_ms));
    std::_Exit(0);
}
