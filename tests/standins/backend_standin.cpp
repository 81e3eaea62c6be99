// Stand-in for a backend server: model engine with streams of tokens, encoder, retriever, reranker or plain service. The path of
// a call chooses which; /v1/completions generates a stream.
//
// Appends a line to the ledger file for each event of an execution. The lines written so far remain when the process is
// killed:
//   server=NAME attempt=ID request=ID path=PATH key=KEY event=begin|end|cancelled us=TIME
// attempt, request and key are the headers X-Request-Id, X-Pipeline-Request and Idempotency-Key. us: for end, how long the
// execution took, in microseconds; otherwise 0. cancelled: the reader of a stream disconnected; a line with end follows. For an
// engine order, which tells the engine to load a model, the line is
//   server=NAME request=MODEL path=/v1/engine/orders key=FENCING-NUMBER event=begin|refused
// Tokens depend only on the input and their position, so that a test can compute the complete text.
//
//   POST /control?MODE=N&...  sets fault modes to N; 0 ends a mode. In force until set to 0:
//     freeze              calls wait, before they are refused or executed, until freeze is 0
//     slow_percent        adds this percentage to each service and token time
//     stall_after_tokens  each stream stops after N tokens; its connection stays open. The stream goes on when this is set to 0
//     leaving             replies have X-Server-State: leaving
//     busy                calls are refused with 429
//   for the next N calls:
//     mismatch            the reply has another request's X-Request-Id
//     lose_reply          the call is executed, then the connection is closed without a reply; not for streams
//     reject              the call is executed, then answered with 500; not for streams
//   once, then the mode is 0:
//     cut_after_tokens    the connection of the next stream that has sent N tokens is closed
//   GET /counts: number of executions begun so far, running now, and the most that ran at the same time
//   GET /v1/engine: model and fencing number of the last order that was accepted
//   POST /v1/engine/orders: an order to load a model. Refused with 409 if its fencing number is lower than that of the last
//     accepted one, unless the stand-in runs with --ignore_fencing
// A call of /v1/completions whose input contains "crash-model" ends the process with exit code 1.
#include "standin.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

DEFINE_string(name, "backend", "name of the backend server");
DEFINE_string(ledger, "", "path of the ledger file; empty: none");
DEFINE_int32(service_us, 5000, "service time of a call that doesn't generate, in microseconds");
DEFINE_int32(token_us, 2000, "time between two tokens, in microseconds");
DEFINE_int32(burst_tokens, 1, "tokens that are sent together; each group waits for token_us once");
DEFINE_int32(concurrency, 8, "calls that run at the same time; others wait");
DEFINE_bool(ignore_fencing, false, "accept orders whose fencing number is lower than the last one");
DEFINE_int32(connections, 256, "connections that are served at the same time");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

// Values of the fault modes by their names in /control; 0: no fault.
struct Faults {
    std::map<std::string, std::atomic<int>> modes;

    Faults()
    {
        for (const char *name : {"freeze", "slow_percent", "mismatch", "cut_after_tokens", "stall_after_tokens", "leaving", "busy", "lose_reply", "reject"}) {
            modes[name] = 0;
        }
    }
    int get(const char *name) const
    {
        return modes.at(name);
    }
    // For modes that apply to the next N calls: returns whether the fault applies to this call, and takes 1 off the remaining calls.
    bool consume(const char *name)
    {
        std::atomic<int> &remaining = modes.at(name);
        return remaining > 0 && remaining.fetch_sub(1) > 0;
    }
};

class Ledger
{
public:
    explicit Ledger(const std::string &path)
        : m_file(path.empty() ? -1 : ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
    {
    }
    void write(const std::string &line)
    {
        if (m_file >= 0) { // one write() with O_APPEND for each line: several processes write to the file, and their lines must not mix
            const std::string terminated = line + "\n";
            [[maybe_unused]] const auto written = ::write(m_file, terminated.data(), terminated.size());
        }
    }

private:
    int m_file;
};

// Limits the calls that run at the same time to --concurrency. Further calls wait in acquire(), as in an engine's queue.
class CallSlots
{
public:
    void acquire()
    {
        Lock lock(m_mutex);
        ++m_waiting;
        m_slotFreed.wait(lock, [this] {
            return m_running < FLAGS_concurrency;
        });
        --m_waiting;
        ++m_running;
        ++m_startedCalls;
        m_peakRunning = std::max(m_peakRunning, m_running);
    }
    void release()
    {
        const Lock lock(m_mutex);
        --m_running;
        m_slotFreed.notify_one();
    }
    // Value of the reply header X-Load: number of calls that run or wait, divided by --concurrency.
    double load()
    {
        const Lock lock(m_mutex);
        return static_cast<double>(m_running + m_waiting) / FLAGS_concurrency;
    }
    Json counts()
    {
        const Lock lock(m_mutex);
        return Json{{"begun", m_startedCalls}, {"running", m_running}, {"most", m_peakRunning}};
    }

private:
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_slotFreed;
    int m_running = 0;
    int m_waiting = 0;
    int m_startedCalls = 0;
    int m_peakRunning = 0;
};

class BackendStandin
{
public:
    BackendStandin()
        : m_ledger(FLAGS_ledger)
    {
    }

    void handle(HttpExchange &exchange)
    {
        if (exchange.path() == "/control") {
            for (auto &[name, value] : m_faults.modes) {
                if (const std::string text = exchange.query(name); !text.empty()) {
                    value = std::stoi(text);
                }
            }
            return exchange.reply(200, "text/plain", "ok");
        }
        if (exchange.path() == "/counts") {
            return exchange.reply(200, "application/json", m_slots.counts().dump());
        }
        if (exchange.path() == "/v1/engine") {
            const Lock lock(m_engineMutex);
            return exchange.reply(200, "application/json", Json{{"model", m_model}, {"fencing", m_fencing}}.dump());
        }
        const auto body = exchange.readBody();
        if (!body) {
            return;
        }
        if (exchange.path() == "/v1/engine/orders") {
            return handleOrder(exchange, Json::parse(*body));
        }
        while (m_faults.get("freeze") != 0) {
            standin::sleepFor(std::chrono::milliseconds(20));
        }
        setHeaders(exchange);
        if (m_faults.get("busy") != 0) {
            return exchange.reply(429, "application/json", "{}");
        }
        m_slots.acquire();
        run(exchange, Json::parse(*body));
        m_slots.release();
    }

private:
    void handleOrder(HttpExchange &exchange, const Json &order)
    {
        const auto fencing = order.at("fencing").get<std::uint64_t>();
        const std::string model = order.at("model").get<std::string>();
        const Lock lock(m_engineMutex);
        const bool refused = !FLAGS_ignore_fencing && fencing < m_fencing;
        m_ledger.write("server=" + FLAGS_name + " request=" + model + " path=/v1/engine/orders key=" + std::to_string(fencing)
                       + " event=" + (refused ? "refused" : "begin"));
        if (refused) {
            return exchange.reply(409, "application/json", "{}");
        }
        m_fencing = fencing;
        m_model = model;
        exchange.reply(200, "application/json", "{}");
    }

    void setHeaders(HttpExchange &exchange)
    {
        const bool mismatch = m_faults.consume("mismatch");
        exchange.setHeader("X-Request-Id", mismatch ? "another-attempt" : exchange.header("X-Request-Id"));
        exchange.setHeader("X-Load", std::to_string(m_slots.load()));
        if (m_faults.get("leaving") != 0) {
            exchange.setHeader("X-Server-State", "leaving");
        }
    }

    void writeEvent(HttpExchange &exchange, const char *event, Duration took = Duration::zero())
    {
        m_ledger.write("server=" + FLAGS_name + " attempt=" + exchange.header("X-Request-Id") + " request=" + exchange.header("X-Pipeline-Request")
                       + " path=" + exchange.path() + " key=" + exchange.header("Idempotency-Key") + " event=" + event
                       + " us=" + std::to_string(took / std::chrono::microseconds(1)));
    }

    Duration slowedDown(int microseconds) const
    {
        return std::chrono::microseconds(microseconds + static_cast<std::int64_t>(microseconds) * m_faults.get("slow_percent") / 100);
    }

    void run(HttpExchange &exchange, const Json &body)
    {
        const TimePoint startedAt = std::chrono::steady_clock::now();
        writeEvent(exchange, "begin");
        const std::string input = inputOf(body);
        if (exchange.path() == "/v1/completions" && input.find("crash-model") != std::string::npos) {
            std::_Exit(1);
        }
        if (exchange.path() == "/v1/completions") {
            generate(exchange, body, input);
            return writeEvent(exchange, "end", std::chrono::steady_clock::now() - startedAt);
        }
        standin::sleepFor(slowedDown(FLAGS_service_us));
        const Duration served = std::chrono::steady_clock::now() - startedAt;
        writeEvent(exchange, "end", served);
        exchange.setHeader("X-Service-Time-Us", std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(served).count()));
        if (m_faults.consume("lose_reply")) {
            return exchange.closeAfterReply();
        }
        if (m_faults.consume("reject")) {
            return exchange.reply(500, "application/json", "{}");
        }
        exchange.reply(200, "application/json", resultOf(exchange.path(), body, input).dump());
    }

    static std::string inputOf(const Json &body)
    {
        if (body.contains("prompt")) { // the prompt has the documents first; its last line is the input of the request
            const std::string prompt = body.at("prompt").get<std::string>();
            return prompt.substr(prompt.rfind('\n') + 1);
        }
        return body.contains("query") ? body.at("query").get<std::string>() : body.at("input").get<std::string>();
    }

    static Json resultOf(const std::string &path, const Json &body, const std::string &input)
    {
        if (path == "/v1/embeddings") {
            return Json{{"data", {{{"embedding", {0.1, 0.2, 0.3}}}}}};
        }
        if (path == "/v1/retrieve") {
            return Json{{"documents", {"first for " + input, "second for " + input}}};
        }
        if (path == "/v1/rerank") {
            Json results = Json::array();
            for (std::size_t i = body.at("documents").size(); i > 0; --i) {
                results.push_back(Json{{"index", i - 1}, {"relevance_score", 0.5}});
            }
            return Json{{"results", results}};
        }
        return Json{{"done_for", input}};
    }

    void generate(HttpExchange &exchange, const Json &body, const std::string &input)
    {
        const int tokens = body.at("max_tokens").get<int>();
        const int first = body.value("resume_after_tokens", 0);
        const int cutAfter = m_faults.get("cut_after_tokens");
        const int stallAfter = m_faults.get("stall_after_tokens");
        const std::string id = exchange.header("X-Request-Id");
        const std::string digest = sha256Hex(input).substr(0, 8);
        std::ostream &stream = exchange.beginStream("text/event-stream");
        // Tokens are due at fixed times after the start: time lost in sending to a slow reader is made up, so that the engine's rate stays.
        TimePoint due = std::chrono::steady_clock::now();
        for (int i = first; i < tokens; ++i) {
            if ((i - first) % FLAGS_burst_tokens == 0) {
                due += slowedDown(FLAGS_token_us);
                std::this_thread::sleep_until(due);
            }
            if (cutAfter > 0 && i - first >= cutAfter) {
                m_faults.modes.at("cut_after_tokens") = 0;
                stream.flush();
                ::shutdown(exchange.callerSocket(), SHUT_RDWR);
                return;
            }
            while (stallAfter > 0 && i - first >= stallAfter && m_faults.get("stall_after_tokens") != 0) {
                standin::sleepFor(std::chrono::milliseconds(20));
            }
            stream << R"(data: {"id":")" << id << R"(","choices":[{"text":")" << digest << ":" << i << R"( "}]})"
                   << "\n\n";
            if ((i - first) % FLAGS_burst_tokens == FLAGS_burst_tokens - 1) {
                stream.flush();
            }
            if (!stream || exchange.callerDisconnected()) {
                writeEvent(exchange, "cancelled");
                return;
            }
        }
        stream << "data: [DONE]\n\n" << std::flush;
    }

    RankedMutex m_engineMutex{LockRank::Leaf};
    std::string m_model;
    std::uint64_t m_fencing = 0;
    Faults m_faults;
    Ledger m_ledger;
    CallSlots m_slots;
};
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = vanillanotch::standin::blockTerminationSignals();
    BackendStandin backend;
    const vanillanotch::standin::StandinServer server(FLAGS_name, FLAGS_connections, [&backend](vanillanotch::HttpExchange &exchange) {
        backend.handle(exchange);
    });
    std::cout << "listening address=" << server.address() << std::endl;
    vanillanotch::standin::awaitTerminationSignal(signals);
    return 0;
}
