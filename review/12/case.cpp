// The store comes back from a copy some seconds old; then a key is taken away. Nodes that get the configuration from a relay don't learn of it.
#include "../harness-3.h"

using namespace review;

namespace
{
constexpr std::size_t Nodes = 10; // in one zone: from 8 on, most nodes get the store's tables from a relay
constexpr int OtherServers = 35; // of other services, which only write to the store
constexpr int BeatMs = 1200;
constexpr int CopyAgeMs = 5000;
constexpr int AwayMs = 500;
constexpr int RevokeMs = 5000;
// Limits and bounds of chakra-kolkata-grown.
constexpr const char *Bounds = "cores: 0.25\nmemory_mb: 260\nmax_descriptors: 4100\nrevocation_bound_ms: 5000\nrecovery_bound_ms: 4000\ndrain_bound_ms: 3000\n"
                               "stop_limit_s: 8.0\nretry_window_s: 10\nretry_ratio: 0.2\nretry_extra: 184\n";

std::string configuration(int version, const std::vector<std::string> &keys)
{
    const Json route{{"Name", "payout-release"}, {"Host", "ledger.example"}, {"Prefix", "/release/"}, {"Kind", "non_idempotent"}, {"Service", "payout-ledger"},
                     {"TimeoutMs", 4000},        {"TargetLatencyMs", 300},   {"Priority", 2},         {"MaxAttempts", 2},         {"AllowAnonymous", false}};
    return Json{{"Version", version},
                {"Routes", Json::array({route})},
                {"Services", Json::array({Json{{"Name", "payout-ledger"}}})},
                {"Tenants", Json::array({Json{{"Name", "circle"}, {"ApiKeys", keys}}})},
                {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 65536}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}
        .dump();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// What the servers write to the store: their entries, every BeatMs. While the store is away they write nothing.
class Beats
{
public:
    Beats(Store &store, std::vector<std::pair<std::string, Json>> entries)
        : m_store(store)
        , m_entries(std::move(entries))
    {
        for (auto &[id, entry] : m_entries) {
            write(id, entry);
        }
        m_thread = std::thread([this] {
            for (std::size_t next = 0; !m_stopping; next = (next + 1) % m_entries.size()) {
                sleepMs(BeatMs / static_cast<int>(m_entries.size()));
                if (!m_away) {
                    write(m_entries[next].first, m_entries[next].second);
                }
            }
        });
    }
    ~Beats()
    {
        m_stopping = true;
        m_thread.join();
    }
    void setAway(bool away)
    {
        m_away = away;
    }

private:
    void write(const std::string &id, Json &entry)
    {
        entry["Sequence"] = entry["Sequence"].get<int>() + 1;
        m_store.write("servers", id, entry.dump());
    }

    Store &m_store;
    std::vector<std::pair<std::string, Json>> m_entries;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_away{false};
    std::thread m_thread;
};

std::string request(const std::string &attempt, const std::string &key)
{
    return "POST /release/2f HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Bearer " + key + "\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
}

int run(const Script &script)
{
    Store store;
    std::mutex mutex;
    std::set<std::string> executed; // attempts
    const auto worker = [&](const std::string &id) {
        return std::make_unique<Server>([&mutex, &executed, id](const Request &call) {
            Answer answer;
            if (call.fields.get("X-Expect-Instance") != id) {
                answer.status = 421;
                answer.fields.list = {{"X-Not-Executed", "1"}};
                return answer;
            }
            const std::string attempt = call.fields.get("X-Attempt-Id");
            {
                const std::lock_guard<std::mutex> lock(mutex);
                executed.insert(attempt);
            }
            record().add("run    " + attempt + " at " + id);
            sleepMs(20);
            answer.fields.list = {{"X-Attempt-Id", attempt}, {"X-Server-Seal", id + "." + attempt}, {"X-Server-Load", "1,0,6"}};
            answer.body = "done " + attempt;
            return answer;
        });
    };
    const std::unique_ptr<Server> workers[] = {worker("i-ledger-1"), worker("i-ledger-2")};
    std::vector<std::pair<std::string, Json>> entries;
    for (int i = 0; i < 2 + OtherServers; ++i) {
        const bool ledger = i < 2;
        // The servers of other services get no work here: their routes aren't in the configuration.
        entries.emplace_back(ledger ? "i-ledger-" + std::to_string(i + 1) : "i-other-" + std::to_string(i),
                             Json{{"Service", ledger ? "payout-ledger" : "model-desk"},
                                  {"Address", ledger ? workers[i]->address() : addressOf(freePort())},
                                  {"Zone", "howrah"},
                                  {"Version", "7"},
                                  {"Slots", 6},
                                  {"State", "ready"},
                                  {"ColdRemainingMs", 0},
                                  {"Sequence", 0},
                                  {"born", unixMs()}});
    }
    store.write("op", "config", configuration(3, {"key-a", "key-b"}));
    std::optional<Beats> beats;
    beats.emplace(store, entries);
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < Nodes; ++i) {
        const std::size_t door = store.addAddress();
        nodes.push_back(std::make_unique<Node>(
            script.root, script.folder, NodeSetup{"edge-howrah-" + std::to_string(i + 1), "howrah", store.address(door), R"({"howrah": "bengal"})", Bounds}));
    }
    const bool ready = eventually(
        [&] {
            return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) {
                return isReady(*node);
            });
        },
        milliseconds(15000));
    if (!ready) {
        record().add("the nodes did not get ready");
        return CouldNotRun;
    }
    sleepMs(10000); // a quiet time, as before the traffic of a day
    int number = 0;
    const auto ask = [&](const std::string &key, const std::string &when) {
        int runs = 0;
        for (const auto &node : nodes) {
            const std::string attempt = key + "-" + std::to_string(++number);
            record().add("sent   " + attempt + " to " + node->name() + ", " + when);
            const Reply reply = call(node->callers(), request(attempt, key), milliseconds(3000));
            const std::lock_guard<std::mutex> lock(mutex);
            runs += executed.count(attempt) > 0 ? 1 : 0;
            record().add("answer " + attempt + ": " + std::to_string(reply.status) + (executed.count(attempt) > 0 ? ", has run" : ", has not run"));
        }
        return runs;
    };
    const int before = ask("key-a", "while the key holds");
    if (before != static_cast<int>(Nodes)) {
        return CouldNotRun;
    }
    store.keepCopy();
    sleepMs(CopyAgeMs);
    if (script.trouble) {
        const std::uint64_t lastVersion = store.version();
        record().add("the store goes away at its version " + std::to_string(lastVersion));
        beats->setAway(true);
        store.setAway(true);
        sleepMs(AwayMs);
        store.returnFromCopy();
        store.setAway(false);
        beats->setAway(false);
        record().add("the store is back, from a copy " + std::to_string(CopyAgeMs) + " ms old, at version " + std::to_string(store.version()));
    }
    sleepMs(700);
    store.write("op", "config", configuration(3, {"key-a", "key-b"}));
    record().add("the operator writes its configuration 3 again, at version " + std::to_string(store.version()) + " of the store");
    sleepMs(1300);
    const std::uint64_t revokedAt = store.write("op", "config", configuration(5, {"key-b"}));
    const auto acknowledged = Clock::now();
    record().add("the operator's configuration 5 takes key-a away: acknowledged, version " + std::to_string(revokedAt) + " of the store");
    std::this_thread::sleep_until(acknowledged + milliseconds(RevokeMs + 500));
    int late = ask("key-a", "later than RevokeMs after the acknowledgement");
    sleepMs(10000);
    late += ask("key-a", "10 s later still");
    const int kept = ask("key-b", "a key that holds");
    record().add(std::to_string(late) + " of " + std::to_string(2 * Nodes)
                 + " requests with the key that was taken away ran, sent later than RevokeMs after the "
                   "acknowledgement; one breaks CONFIG. With the other key "
                 + std::to_string(kept) + " of " + std::to_string(Nodes) + " ran");
    for (const auto &node : nodes) {
        node->kill(SIGKILL);
    }
    beats.reset();
    store.stop();
    return late > 0 ? Broken : Held;
}
} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
