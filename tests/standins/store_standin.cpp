// Stand-in for the store of the users' platform: tables with a change feed, conditional transactions, faults on request.
// A feed request (/api/rows-feed) asks for the rows of a table that changed after a version, and waits up to WaitMs for the first.
//
//   POST /control?mode=MODE   in force until the next mode:
//     ok      no fault
//     busy    answers all requests with 503
//     many    answers all requests with 429
//     silent  does not execute requests; holds each for 5 s and sends no reply
//     lost    writes take effect, then are held for 5 s and get no reply; feeds are answered with 503, other reads are served
//   A feed request that is waiting when the mode changes from ok to another is answered with 503.
//   POST /control?down=TABLE  answers all requests for this table with 503, and serves the others; TABLE none: serves all again
//   POST /control?copy=1      keeps a copy of all rows and of the version
//   POST /control?return=1    comes back from that copy: what was written since is gone, versions go back and are given out again, a feed from a version
//     that isn't there gets 410, and the header Store-Era of all answers rises by one. The requests for feeds that wait end with 503.
//   POST /control?compact=1   as if the feed's history were deleted: feeds from an older version are answered with 410
#include "standin.h"

#include <nlohmann/json.hpp>

DEFINE_int32(port, 0, "not used: the stand-in always listens on a free loopback port");

namespace
{
using namespace vanillanotch;
using Json = nlohmann::json;

constexpr std::int64_t MaxFeedWaitMs = 30000; // in ms; a feed request with a higher WaitMs waits only this long
constexpr auto SilenceDuration = std::chrono::seconds(5); // how long a request that gets no reply is held

struct RowKey {
    std::string table;
    std::string part;
    std::string key;
    bool operator<(const RowKey &other) const
    {
        return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
    }
};

struct StoredValue {
    std::string text; // the row's value, in base64 as the client sent it
    std::uint64_t version = 0;
    bool removed = false;
};

class Store
{
public:
    void handle(HttpExchange &exchange)
    {
        const std::string path = exchange.path();
        if (path == "/control") {
            control(exchange);
            return;
        }
        const std::string mode = currentMode();
        const bool write = path == "/api/rows-tx";
        if (mode == "busy" || mode == "many") {
            reply(exchange, mode == "busy" ? 503 : 429, Json::object());
        } else if (!write && isDown(exchange.query("Table"))) {
            reply(exchange, 503, Json::object());
        } else if (mode == "silent") {
            standin::sleepFor(SilenceDuration);
        } else if (write) {
            transact(exchange, mode == "lost");
        } else if (path == "/api/rows-get") {
            get(exchange);
        } else if (path == "/api/rows-feed") {
            feed(exchange);
        } else {
            reply(exchange, 404, Json::object());
        }
    }

private:
    std::string currentMode()
    {
        const std::unique_lock<std::mutex> lock(m_mutex);
        return m_mode;
    }

    bool isDown(const std::string &table)
    {
        const std::unique_lock<std::mutex> lock(m_mutex);
        return !table.empty() && table == m_down;
    }

    void control(HttpExchange &exchange)
    {
        {
            const std::unique_lock<std::mutex> lock(m_mutex);
            if (const std::string table = exchange.query("down"); !table.empty()) {
                m_down = table;
            }
            if (const std::string mode = exchange.query("mode"); !mode.empty()) {
                m_mode = mode;
            }
            if (!exchange.query("compact").empty()) {
                m_oldest = m_version;
            }
            if (!exchange.query("copy").empty()) {
                m_copy = Copy{m_rows, m_version};
            }
            if (!exchange.query("return").empty()) {
                m_rows = m_copy.rows;
                m_version = m_copy.version;
                ++m_era;
            }
        }
        m_changed.notify_all();
        reply(exchange, 200, Json::object());
    }

    void reply(HttpExchange &exchange, int status, Json body)
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
        body["NowMs"] = now;
        exchange.setHeader("Store-Era", std::to_string(m_era));
        exchange.reply(status, "application/json", body.dump());
    }

    static Json rowOf(const RowKey &key, const StoredValue &value)
    {
        Json row{{"Table", key.table}, {"part", key.part}, {"Key", key.key}, {"Ver", value.version}};
        if (value.removed) {
            row["Removed"] = true;
        } else {
            row["Value"] = value.text;
        }
        return row;
    }

    void get(HttpExchange &exchange)
    {
        Json body{{"Rows", Json::array()}, {"HasMore", false}};
        {
            const std::unique_lock<std::mutex> lock(m_mutex);
            for (const auto &[key, value] : m_rows) {
                if (key.table == exchange.query("Table") && key.part == exchange.query("part") && key.key >= exchange.query("From") && !value.removed) {
                    body["Rows"].push_back(rowOf(key, value));
                }
            }
            body["Ver"] = m_version;
        }
        reply(exchange, 200, body);
    }

    void feed(HttpExchange &exchange)
    {
        const std::uint64_t after = std::stoull(exchange.query("After"));
        const auto maxWait = std::chrono::milliseconds(std::min<std::int64_t>(MaxFeedWaitMs, std::stoll(exchange.query("WaitMs"))));
        Json body{{"Rows", Json::array()}};
        int status = 200;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            const std::uint64_t era = m_era;
            const auto gone = [&] {
                return after < m_oldest || after > m_version;
            };
            const auto faulty = [&] {
                return m_mode != "ok" || exchange.query("Table") == m_down || era != m_era;
            };
            const auto changed = [&] {
                body["Rows"] = Json::array();
                for (const auto &[key, value] : m_rows) {
                    if (key.table == exchange.query("Table") && value.version > after) {
                        body["Rows"].push_back(rowOf(key, value));
                    }
                }
                return gone() || !body["Rows"].empty() || faulty();
            };
            m_changed.wait_for(lock, maxWait, changed);
            status = faulty() ? 503 : gone() ? 410 : 200; // calls that waited when the store went away learn nothing of its return
            body["Ver"] = m_version;
        }
        reply(exchange, status, body);
    }

    void transact(HttpExchange &exchange, bool loseReply)
    {
        const auto text = exchange.readBody();
        const Json json = Json::parse(*text);
        for (const char *list : {"Writes", "Remove"}) {
            for (const Json &row : json.value(list, Json::array())) {
                if (isDown(row.at("Table").get<std::string>())) {
                    reply(exchange, 503, Json::object());
                    return;
                }
            }
        }
        int status = 200;
        {
            const std::unique_lock<std::mutex> lock(m_mutex);
            for (const Json &row : json.value("Precondition", Json::array())) {
                const auto found = m_rows.find(keyOf(row));
                const std::uint64_t version = found == m_rows.end() || found->second.removed ? 0 : found->second.version;
                status = version == row.at("Ver").get<std::uint64_t>() ? status : 412;
            }
            if (status == 200) {
                ++m_version;
                for (const Json &row : json.value("Writes", Json::array())) {
                    m_rows[keyOf(row)] = StoredValue{row.at("Value").get<std::string>(), m_version, false};
                }
                for (const Json &row : json.value("Remove", Json::array())) {
                    m_rows[keyOf(row)] = StoredValue{{}, m_version, true};
                }
            }
        }
        m_changed.notify_all();
        if (loseReply) {
            standin::sleepFor(SilenceDuration);
            return;
        }
        reply(exchange, status, Json{{"Ver", m_version}});
    }

    static RowKey keyOf(const Json &row)
    {
        return RowKey{row.at("Table").get<std::string>(), row.value("part", std::string()), row.at("Key").get<std::string>()};
    }

    struct Copy {
        std::map<RowKey, StoredValue> rows;
        std::uint64_t version = 1;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Copy m_copy;
    std::atomic<std::uint64_t> m_era{1};
    std::map<RowKey, StoredValue> m_rows;
    std::uint64_t m_version = 1;
    std::uint64_t m_oldest = 0; // oldest version after which a feed can continue; set by compact
    std::string m_mode = "ok";
    std::string m_down; // table that is down; empty or "none": none
};
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = standin::blockTerminationSignals();
    initLog(LogLevel::Warning, "store");
    Store store;
    const standin::StandinServer server("store", 256, [&store](HttpExchange &exchange) {
        store.handle(exchange);
    });
    std::cout << "listening address=" << server.address() << std::endl;
    standin::awaitTerminationSignal(signals);
    std::_Exit(0);
}
