// Stand-in for the platform's service: table, object store and VM list, held in memory, with faults on request.
//
//   POST /control?down=0|1&delay_ms=N&lose_next=N
//     down       1: each connection is closed when a request comes, without a reply, and nothing takes effect; 0 ends this
//     delay_ms   every request waits for N ms before it is served; 0 ends this
//     lose_next  the next N writes take effect, then the connection is closed without a reply
//     Parameters that are left out stay as they are. /control and /counts work during all faults.
//   PUT /v1/vms: replaces the VM list (JSON)
//   GET /counts: numbers of reads and writes served so far
#include "standin.h"
#include "storage/storage.h"

#include <nlohmann/json.hpp>

DEFINE_int32(connections, 256, "connections that are served at the same time");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

constexpr const char *JsonType = "application/json";

struct Faults {
    std::atomic<bool> down{false};
    std::atomic<int> delayMilliseconds{0};
    std::atomic<int> loseNext{0};
};

class PlatformStandin
{
public:
    void handle(HttpExchange &exchange)
    {
        if (exchange.path() == "/control") {
            return control(exchange);
        }
        if (exchange.path() == "/counts") {
            return exchange.reply(200, JsonType, Json{{"reads", m_readCount.load()}, {"writes", m_writeCount.load()}}.dump());
        }
        standin::sleepFor(std::chrono::milliseconds(m_faults.delayMilliseconds));
        if (m_faults.down) {
            return exchange.closeAfterReply(); // no reply was written: this closes the connection
        }
        serve(exchange);
    }

private:
    void control(HttpExchange &exchange)
    {
        const auto number = [&exchange](const char *name, int fallback) {
            const std::string text = exchange.query(name);
            return text.empty() ? fallback : std::stoi(text);
        };
        m_faults.down = number("down", m_faults.down ? 1 : 0) != 0;
        m_faults.delayMilliseconds = number("delay_ms", m_faults.delayMilliseconds);
        m_faults.loseNext = number("lose_next", m_faults.loseNext);
        exchange.reply(200, "text/plain", "ok");
    }

    void serve(HttpExchange &exchange)
    {
        if (exchange.method() == "GET") {
            ++m_readCount;
            return read(exchange);
        }
        ++m_writeCount;
        const auto body = exchange.readBody();
        if (!body) {
            return;
        }
        const auto [status, reply] = write(exchange, *body);
        if (m_faults.loseNext > 0 && m_faults.loseNext.fetch_sub(1) > 0) {
            return exchange.closeAfterReply(); // the write took effect; its reply is lost
        }
        exchange.reply(status, JsonType, reply);
    }

    static Json rowToJson(const Row &row)
    {
        return Json{{"key", row.key}, {"value", row.value}, {"version", row.version}};
    }

    void read(HttpExchange &exchange)
    {
        if (exchange.path() == "/v1/rows") {
            const auto row = m_platform.table->read(exchange.query("key")).value();
            return row ? exchange.reply(200, JsonType, rowToJson(*row).dump()) : exchange.reply(404, JsonType, "{}");
        }
        if (exchange.path() == "/v1/scan") {
            Json rows = Json::array();
            const auto scannedRows = m_platform.table->scan(exchange.query("prefix"), exchange.query("after"), std::stoul(exchange.query("limit")));
            for (const Row &row : *scannedRows) {
                rows.push_back(rowToJson(row));
            }
            return exchange.reply(200, JsonType, Json{{"rows", rows}}.dump());
        }
        if (exchange.path() == "/v1/objects") {
            const auto bytes = m_platform.objects->read(exchange.query("name"));
            return bytes ? exchange.reply(200, "application/octet-stream", *bytes) : exchange.reply(404, JsonType, "{}");
        }
        if (exchange.path() == "/v1/vms") {
            const Lock lock(m_mutex);
            const std::string etag = "\"" + std::to_string(m_vmsVersion) + "\"";
            exchange.setHeader("ETag", etag);
            const bool unchanged = exchange.header("If-None-Match") == etag;
            return unchanged ? exchange.reply(304, JsonType, "") : exchange.reply(200, JsonType, m_vms);
        }
        exchange.reply(404, JsonType, "{}");
    }

    std::pair<int, std::string> write(HttpExchange &exchange, const std::string &body)
    {
        if (exchange.path() == "/v1/commit") {
            std::vector<Write> writes;
            const Json document = Json::parse(body);
            for (const Json &item : document.at("writes")) {
                Write entry{item.at("key").get<std::string>(), std::nullopt, item.at("expected_version").get<std::uint64_t>()};
                if (!item.at("value").is_null()) {
                    entry.value = item.at("value").get<std::string>();
                }
                writes.push_back(std::move(entry));
            }
            return m_platform.table->commit(writes) ? std::pair(200, "{}") : std::pair(409, "{}");
        }
        if (exchange.path() == "/v1/objects") {
            const std::string name = exchange.query("name");
            if (exchange.method() == "DELETE") {
                m_platform.objects->remove(name);
                return {200, "{}"};
            }
            const bool insert = exchange.header("If-None-Match") == "*";
            const auto written = insert ? m_platform.objects->insert(name, body) : m_platform.objects->write(name, body);
            return written ? std::pair(200, "{}") : std::pair(412, "{}");
        }
        if (exchange.path() == "/v1/vms") {
            const Lock lock(m_mutex);
            m_vms = body;
            ++m_vmsVersion;
            return {200, "{}"};
        }
        return {404, "{}"};
    }

    Platform m_platform = makeMemoryPlatform();
    Faults m_faults;
    std::atomic<std::uint64_t> m_readCount{0};
    std::atomic<std::uint64_t> m_writeCount{0};
    RankedMutex m_mutex{LockRank::Leaf};
    std::string m_vms = R"({"vms":[]})";
    std::uint64_t m_vmsVersion = 1;
};
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = vanillanotch::standin::blockTerminationSignals();
    PlatformStandin platform;
    const vanillanotch::standin::StandinServer server("platform", FLAGS_connections, [&platform](vanillanotch::HttpExchange &exchange) {
        platform.handle(exchange);
    });
    std::cout << "listening address=" << server.address() << std::endl;
    vanillanotch::standin::awaitTerminationSignal(signals);
    return 0;
}
