// A worker leaves without reporting `draining`, some seconds after the store was silent for half a second.
#include "standins.h"

using namespace review;

namespace
{
constexpr double OutageS = 0.5;
constexpr double BeforeOutageS = 0.2; // after another worker's entry has changed, upon which the nodes ask again
constexpr double ContactS = 3;
constexpr double DrainS = 2;
constexpr double ServesOnS = 5; // after its entry is removed: DrainMs and "a little longer (at times many seconds)"
constexpr int Rounds = 4;
constexpr int Nodes = 3;

struct Leaving {
    std::string worker;
    double acknowledgedAt = 0;
};
std::mutex g_mutex;
std::vector<Leaving> g_left;
int g_late = 0;
double g_latestS = 0;

bool servePlain(Worker &worker, Wire &wire, const Head &head, const std::string & /*body*/)
{
    const std::string id = worker.id();
    {
        const std::lock_guard lock(g_mutex);
        for (const Leaving &left : g_left) {
            const double afterS = nowS() - left.acknowledgedAt;
            if (left.worker == id && afterS > DrainS) {
                ++g_late;
                g_latestS = std::max(g_latestS, afterS);
                record.line("DRAIN: %s reaches worker %s %.3f s after the store acknowledged that it is gone", head.get("X-Attempt-Id").c_str(), id.c_str(), afterS);
            }
        }
    }
    sleepS(0.03);
    return wire.send(encodeReply(200, replyHeaders(worker, head), "balances"));
}
} // namespace

int main(int argc, char **argv)
{
    const CaseFolder folder = beginCase(argc, argv);
    Store store;
    store.put("op", "config",
              R"({"Version":7,"Routes":[{"Name":"r-read","Host":"circle.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":300,)"
              R"("Priority":2,"Service":"ledger","MaxAttempts":2,"Stages":[],"AllowAnonymous":false}],)"
              R"("Services":[{"Name":"ledger","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}],)"
              R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
              R"("Tenants":[{"Name":"circle","ApiKeys":["key-of-the-circle"],"Priority":1}]})");
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 4; ++i) {
        workers.push_back(std::make_unique<Worker>(store, "ledger", i % 2 == 0 ? "kolkata" : "howrah", 6, servePlain));
    }
    std::vector<std::unique_ptr<Worker>> extra;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < Nodes; ++i) {
        nodes.push_back(std::make_unique<Node>(folder.temporary, "edge-kolkata-" + std::to_string(i + 1), "kolkata", store.port()));
    }
    for (auto &node : nodes) {
        node->awaitReady();
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * Nodes; ++i) {
        clients.emplace_back([&, i] {
            const std::string name = "c" + std::to_string(i + 1);
            std::unique_ptr<Wire> wire;
            while (!stop) {
                if (!wire) {
                    wire = connectTo(nodes[static_cast<std::size_t>(i % Nodes)]->front());
                }
                ClientRequest request;
                request.method = "GET";
                request.path = "/read/" + std::to_string(i);
                request.key = "key-of-the-circle";
                request.deadlineMs = 4000;
                if (!wire || !exchange(*wire, request, name.c_str()).complete) {
                    wire.reset();
                }
                sleepS(0.07);
            }
        });
    }
    sleepS(5);
    for (int round = 0; round < Rounds; ++round) {
        extra.push_back(std::make_unique<Worker>(store, "ledger", "kolkata", 6, servePlain));
        record.line("worker %s is added", extra.back()->id().c_str());
        sleepS(BeforeOutageS);
        if (folder.trouble) {
            record.line("the store is silent");
            store.setSilent(true);
            sleepS(OutageS);
            store.setSilent(false);
            record.line("the store answers again");
        }
        sleepS(ContactS + 0.05); // from now on the store is stable, and all machines are in touch
        Worker &leaving = *workers[static_cast<std::size_t>(round) % workers.size()];
        const std::string id = leaving.id();
        leaving.removeEntry();
        {
            const std::lock_guard lock(g_mutex);
            g_left.push_back(Leaving{id, nowS()});
        }
        record.line("the store acknowledges that worker %s is gone; it serves on", id.c_str());
        sleepS(ServesOnS);
        leaving.crash(); // it exits
        sleepS(0.5);
        leaving.start();
        sleepS(0.5);
    }
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    endCase(g_late > 0, std::to_string(g_late) + " requests reached a worker later than DrainMs after the store had acknowledged that it is gone, in "
                            + std::to_string(Rounds) + " rounds; the latest " + std::to_string(g_latestS) + " s after it");
}
