// Stand-in for backend servers: a model engine that batches and streams, encoders, retrievers, rerankers, plain services.
//
// Every execution goes as one line into the ledger file, which outlives the process:
//   server=NAME attempt=ID request=ID path=PATH key=KEY event=begin|end|cancelled us=TIME
// Tokens are a function of the input alone, so that a test knows the whole text.
//
//   POST /control?MODE=N with the modes of struct Faults; GET /counts (executions begun, running, most at once)
// An input that holds "crash-model" ends the process of the model that generates for it.
#include "standin.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

DEFINE_string(name, "backend", "name of the backend server");
DEFINE_string(ledger, "", "file for the ledger; empty: none");
DEFINE_int32(service_us, 5000, "time of a call that doesn't generate");
DEFINE_int32(token_us, 2000, "time between two tokens");
DEFINE_int32(burst_tokens, 1, "tokens sent at once");
DEFINE_int32(concurrency, 8, "calls run at the same time; more wait");
DEFINE_bool(ignore_fencing, false, "take orders with an old fencing number");
DEFINE_int32(connections, 256, "connections served at the same time");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

// Names as in /control.
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
    // A mode that counts down: true while some are left.
    bool take(const char *name)
    {
        std::atomic<int> &left = modes.at(name);
        return left > 0 && left.fetch_sub(1) > 0;
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
        if (m_file >= 0) { // one write to a file opened for appending: lines of several processes don't mix
            const std::string whole = line + "\n";
            [[maybe_unused]] const auto written = ::write(m_file, whole.data(), whole.size());
        }
    }

private:
    int m_file;
};

// Calls beyond the concurrency wait here, as in an engine's queue.
class Places
{
public:
    void enter()
    {
        Lock lock(m_mutex);
        ++m_waiting;
        m_free.wait(lock, [this] {
            return m_running < FLAGS_concurrency;
        });
        --m_waiting;
        ++m_running;
        ++m_begun;
        m_most = std::max(m_most, m_running);
    }
    void leave()
    {
        const Lock lock(m_mutex);
        --m_running;
        m_free.notify_one();
    }
    double load()
    {
        const Lock lock(m_mutex);
        return static_cast<double>(m_running + m_waiting) / FLAGS_concurrency;
    }
    Json counts()
    {
        const Lock lock(m_mutex);
        return Json{{"begun", m_begun}, {"running", m_running}, {"most", m_most}};
    }

private:
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_free;
    int m_running = 0;
    int m_waiting = 0;
    int m_begun = 0;
    int m_most = 0;
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
            return exchange.reply(200, "application/json", m_places.counts().dump());
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
            return takeOrder(exchange, Json::parse(*body));
        }
        while (m_faults.get("freeze") != 0) {
            standin::simulateServiceTime(std::chrono::milliseconds(20));
        }
        setHeaders(exchange);
        if (m_faults.get("busy") != 0) {
            return exchange.reply(429, "application/json", "{}");
        }
        m_places.enter();
        run(exchange, Json::parse(*body));
        m_places.leave();
    }

private:
    // The ledger's key is the fencing number, its request the model.
    void takeOrder(HttpExchange &exchange, const Json &order)
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
        const bool mismatch = m_faults.take("mismatch");
        exchange.setHeader("X-Request-Id", mismatch ? "another-attempt" : exchange.header("X-Request-Id"));
        exchange.setHeader("X-Load", std::to_string(m_places.load()));
        if (m_faults.get("leaving") != 0) {
            exchange.setHeader("X-Server-State", "leaving");
        }
    }

    void note(HttpExchange &exchange, const char *event, Duration took = Duration::zero())
    {
        m_ledger.write("server=" + FLAGS_name + " attempt=" + exchange.header("X-Request-Id") + " request=" + exchange.header("X-Pipeline-Request")
                       + " path=" + exchange.path() + " key=" + exchange.header("Idempotency-Key") + " event=" + event
                       + " us=" + std::to_string(took / std::chrono::microseconds(1)));
    }

    Duration scaled(int microseconds) const
    {
        return std::chrono::microseconds(microseconds + static_cast<std::int64_t>(microseconds) * m_faults.get("slow_percent") / 100);
    }

    void run(HttpExchange &exchange, const Json &body)
    {
        const TimePoint began = std::chrono::steady_clock::now();
        note(exchange, "begin");
        const std::string input = inputOf(body);
        if (exchange.path() == "/v1/completions" && input.find("crash-model") != std::string::npos) {
            std::_Exit(1);
        }
        if (exchange.path() == "/v1/completions") {
            generate(exchange, body, input);
            return note(exchange, "end", std::chrono::steady_clock::now() - began);
        }
        standin::simulateServiceTime(scaled(FLAGS_service_us));
        const Duration served = std::chrono::steady_clock::now() - began;
        note(exchange, "end", served);
        exchange.setHeader("X-Service-Time-Us", std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(served).count()));
        if (m_faults.take("lose_reply")) {
            return exchange.closeAfterReply();
        }
        if (m_faults.take("reject")) {
            return exchange.reply(500, "application/json", "{}");
        }
        exchange.reply(200, "application/json", resultOf(exchange.path(), body, input).dump());
    }

    static std::string inputOf(const Json &body)
    {
        if (body.contains("prompt")) { // documents first, the input on the last line
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
        std::ostream &out = exchange.beginStream("text/event-stream");
        // A fixed pace, so that a slow reader doesn't slow the engine down.
        TimePoint due = std::chrono::steady_clock::now();
        for (int i = first; i < tokens; ++i) {
            if ((i - first) % FLAGS_burst_tokens == 0) {
                due += scaled(FLAGS_token_us);
                std::this_thread::sleep_until(due);
            }
            if (cutAfter > 0 && i - first >= cutAfter) {
                m_faults.modes.at("cut_after_tokens") = 0;
                out.flush();
                ::shutdown(exchange.socketHandle(), SHUT_RDWR);
                return;
            }
            while (stallAfter > 0 && i - first >= stallAfter && m_faults.get("stall_after_tokens") != 0) {
                standin::simulateServiceTime(std::chrono::milliseconds(20));
            }
            out << R"(data: {"id":")" << id << R"(","choices":[{"text":")" << digest << ":" << i << R"( "}]})"
                << "\n\n";
            if ((i - first) % FLAGS_burst_tokens == FLAGS_burst_tokens - 1) {
                out.flush();
            }
            if (!out || exchange.callerDisconnected()) {
                note(exchange, "cancelled");
                return;
            }
        }
        out << "data: [DONE]\n\n" << std::flush;
    }

    RankedMutex m_engineMutex{LockRank::Leaf};
    std::string m_model;
    std::uint64_t m_fencing = 0;
    Faults m_faults;
    Ledger m_ledger;
    Places m_places;
};
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = vanillanotch::standin::blockSignals();
    BackendStandin backend;
    const vanillanotch::standin::StandinServer server(FLAGS_name, FLAGS_connections, [&backend](vanillanotch::HttpExchange &exchange) {
        backend.handle(exchange);
    });
    std::cout << "listening address=" << server.address() << std::endl;
    vanillanotch::standin::awaitTerminationSignal(signals);
    return 0;
}
