// Stands in for a backend server on the users' platform: plain requests, event streams, pieces of stages.
//
// Registers itself in the store. SIGTERM: says that it drains, serves on, then leaves. Writes a line for each run into the
// ledger: "run INSTANCE ATTEMPT", and "wrong INSTANCE ATTEMPT WHAT" when it is given something of another request.
//
//   POST /control?fail=PERCENT   answers this share with 500
//   POST /control?slow=FACTOR    works this many times as long
#include "standin.h"

#include <nlohmann/json.hpp>

#include <Poco/Base64Encoder.h>

#include <fcntl.h>
#include <random>
#include <sstream>
#include <unistd.h>

DEFINE_string(name, "", "id of the instance");
DEFINE_string(service, "", "service that it belongs to");
DEFINE_string(data_centre, "dc1", "data centre");
DEFINE_string(store, "", "address of the store");
DEFINE_string(proxy, "", "fault proxy that callers reach it through; empty: none");
DEFINE_string(ledger, "", "file for the runs");
DEFINE_string(kind, "plain", "plain, engine or stage");
DEFINE_int32(work_ms, 20, "time of a plain request; of an engine until the first event");
DEFINE_int32(events, 8, "events of a stream");
DEFINE_int32(gap_ms, 20, "time between two events");
DEFINE_int32(drain_ms, 1500, "serves on for this long after it has said that it drains");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

constexpr int StageCallMs = 15; // time of a call of a stage
constexpr int StageQueue = 2; // calls that may wait
constexpr int PlainSlots = 64;

class Worker
{
public:
    explicit Worker(int ledger)
        : m_ledger(ledger)
    {
    }

    void handle(HttpExchange &exchange)
    {
        const std::string path = exchange.path();
        if (path == "/control") {
            m_failPercent = exchange.query("fail").empty() ? m_failPercent.load() : std::stoi(exchange.query("fail"));
            m_slow = exchange.query("slow").empty() ? m_slow.load() : std::stoi(exchange.query("slow"));
            exchange.reply(200, "text/plain", "ok");
            return;
        }
        exchange.setHeader("X-Instance-Id", FLAGS_name);
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

    void write(const std::string &line) const
    {
        const std::string text = line + "\n";
        if (::write(m_ledger, text.data(), text.size()) < 0) {
            std::abort(); // without its ledger a run proves nothing
        }
    }

private:
    void work(int milliseconds) const
    {
        standin::simulateServiceTime(std::chrono::milliseconds(milliseconds * m_slow));
    }

    bool fails()
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
        if (++m_running > PlainSlots) {
            --m_running;
            refuse(exchange);
            return;
        }
        write("run " + FLAGS_name + " " + attempt + " " + exchange.header("Last-Event-Id") + " tenant=" + exchange.header("X-Tenant"));
        checkInputs(exchange, attempt);
        work(FLAGS_work_ms);
        exchange.setHeader("X-Attempt-Id", attempt);
        exchange.setHeader("X-Server-Seal", FLAGS_name + "." + attempt);
        if (fails()) {
            exchange.reply(500, "text/plain", "failed " + attempt);
        } else if (FLAGS_kind == "engine") {
            stream(exchange, attempt);
        } else {
            exchange.reply(200, "text/plain", "answer to " + attempt);
        }
        --m_running;
    }

    void checkInputs(HttpExchange &exchange, const std::string &attempt) const
    {
        std::istringstream inputs(exchange.header("X-Inputs"));
        std::string input;
        while (std::getline(inputs, input, ',')) {
            if (input.find("/" + attempt + ".") == std::string::npos) {
                write("wrong " + FLAGS_name + " " + attempt + " input=" + input);
            }
        }
    }

    void stream(HttpExchange &exchange, const std::string &attempt)
    {
        const std::string last = exchange.header("Last-Event-Id");
        std::ostream &out = exchange.beginStream("text/event-stream");
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= FLAGS_events; ++id) {
            out << "id: " << id << "\ndata: " << attempt << "." << id << "\n\n" << std::flush;
            if (!out) {
                return; // the caller has gone
            }
            work(FLAGS_gap_ms);
        }
    }

    void runPieces(HttpExchange &exchange)
    {
        const auto text = exchange.readBody();
        if (!text || ++m_waiting > StageQueue + 1) {
            --m_waiting;
            refuse(exchange);
            return;
        }
        const std::unique_lock<std::mutex> turn(m_stage);
        Json reply{{"Items", Json::array()}};
        const Json request = Json::parse(*text);
        for (const Json &item : request.at("Items")) {
            const std::string attempt = item.at("Id").get<std::string>();
            for (const Json &input : item.value("Inputs", Json::array())) {
                if (input.get<std::string>().find("/" + attempt + ".") == std::string::npos) {
                    write("wrong " + FLAGS_name + " " + attempt + " piece-input=" + input.get<std::string>());
                }
            }
            const std::string name = attempt + "." + std::to_string(item.at("Stage").get<int>()) + "." + std::to_string(item.at("Piece").get<int>());
            reply["Items"].push_back(Json{{"Handle", m_address + "/" + name}});
        }
        work(StageCallMs);
        --m_waiting;
        exchange.reply(200, "application/json", reply.dump());
    }

public:
    std::string m_address;

private:
    const int m_ledger;
    std::atomic<int> m_failPercent{0};
    std::atomic<int> m_slow{1};
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    std::mutex m_stage;
};

// Tells the store; tries until it answers.
void registerAs(const std::string &state, const std::string &address)
{
    Json entry{{"Service", FLAGS_service}, {"Address", address}, {"Zone", FLAGS_data_centre}, {"Slots", 8}, {"State", state}, {"Sequence", 1}};
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
    for (int tries = 0; tries < 200; ++tries) {
        const auto reply = client.call(FLAGS_store, request, std::chrono::steady_clock::now() + std::chrono::seconds(1));
        if (reply && reply->status == 200) {
            return;
        }
        standin::simulateServiceTime(std::chrono::milliseconds(100));
    }
}
// A link of the fault proxy to this instance; its id and address.
std::pair<std::size_t, std::string> linkTo(const std::string &address)
{
    HttpClient client;
    HttpClientRequest request;
    request.path = "/links?target=" + address;
    const auto reply = client.call(FLAGS_proxy, request, std::chrono::steady_clock::now() + std::chrono::seconds(10));
    if (!reply || reply->status != 200) {
        std::cerr << "no link at the proxy" << std::endl;
        std::_Exit(1);
    }
    const Json link = Json::parse(reply->body);
    return {link.at("id").get<std::size_t>(), link.at("address").get<std::string>()};
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = standin::blockSignals();
    initLog(LogLevel::Error, FLAGS_name);
    Worker worker(::open(FLAGS_ledger.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    const standin::StandinServer server(FLAGS_name, 256, [&worker](HttpExchange &exchange) {
        worker.handle(exchange);
    });
    const auto [link, address] = FLAGS_proxy.empty() ? std::pair(std::size_t{0}, server.address()) : linkTo(server.address());
    worker.m_address = address;
    std::cout << "listening address=" << server.address() << " link=" << link << std::endl;
    registerAs("ready", address);
    standin::awaitTerminationSignal(signals);
    registerAs("draining", address);
    standin::simulateServiceTime(std::chrono::milliseconds(FLAGS_drain_ms));
    registerAs("gone", address);
    standin::simulateServiceTime(std::chrono::milliseconds(FLAGS_drain_ms));
    std::_Exit(0);
}
