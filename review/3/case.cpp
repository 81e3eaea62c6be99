// A request that crashes each worker that runs it, after the worker has sent the first event of its stream. It comes again and again.
#include "standins.h"

using namespace review;

namespace
{
constexpr int Workers = 6;
constexpr double WorkerBackAfterS = 4; // "the worker is back after some seconds"
constexpr double ContactS = 3;
constexpr int AllowedRetries = 3; // later than ContactS after the third crash
constexpr double LengthS = 45;
constexpr double PauseBetweenTriesS = 1.2;
const std::string DeadlyPart = "bad0bad0"; // the last part of the deadly request's prompt, by which the stand-in knows it

std::mutex g_mutex;
std::vector<double> g_deadlyRuns; // when a worker began to run the deadly request
std::vector<double> g_crashes;
std::set<std::string> g_innocentRuns; // other requests that run now
int g_innocentLost = 0; // other requests that a crash broke off
bool g_trouble = true;
bool g_crashBeforeAnswer = false; // CRASH=before, for comparison: the worker crashes at its first token and sends nothing

void crashSoon(Worker &worker)
{
    std::thread([&worker] {
        worker.crash();
        {
            const std::lock_guard lock(g_mutex);
            g_crashes.push_back(nowS());
        }
        record.line("worker at port %d crashes", worker.port());
        sleepS(WorkerBackAfterS);
        worker.start();
        record.line("worker at port %d is back as %s", worker.port(), worker.id().c_str());
    }).detach();
}

bool serveStream(Worker &worker, Wire &wire, const Head &head, const std::string & /*body*/)
{
    const std::string attempt = head.get("X-Attempt-Id");
    const bool deadly = head.get("X-Prompt-Prefix").find(DeadlyPart) != std::string::npos;
    record.line("worker %s runs %s%s", worker.id().c_str(), attempt.c_str(), deadly ? " (deadly)" : "");
    if (deadly) {
        const std::lock_guard lock(g_mutex);
        g_deadlyRuns.push_back(nowS());
    }
    sleepS(0.08); // until the first token
    if (deadly && g_trouble && g_crashBeforeAnswer) {
        crashSoon(worker);
        sleepS(1);
        return false;
    }
    bool sent = wire.send(streamHead(worker, head));
    const int events = outputTokens(head) / 5;
    for (int i = 1; sent && i <= events; ++i) {
        sent = !wire.gone() && wire.send(chunkOf(eventOf(i)));
        sleepS(0.1);
        if (deadly && g_trouble && sent) {
            crashSoon(worker);
            sleepS(1); // the connection ends with the process
            return false;
        }
    }
    sent = sent && wire.send("0\r\n\r\n");
    if (!sent && !worker.up()) {
        const std::lock_guard lock(g_mutex);
        ++g_innocentLost;
        record.line("request %s was lost with its worker", attempt.c_str());
    }
    return false;
}

ClientRequest streamRequest(bool deadly)
{
    ClientRequest request;
    request.path = deadly ? "/ask/deadly" : "/ask/now";
    request.key = "key-of-the-circle";
    request.body = deadly ? "{\"question\":\"deadly\"}" : "{}";
    const std::string last = deadly ? DeadlyPart : newAttemptId().substr(0, 8);
    request.headers = {{"X-Model", "m"}, {"X-Token-Count", "100,50"}, {"X-Prompt-Prefix", (deadly ? "77aa0001:60," : "5c1e07a2:60,") + last + ":40"}};
    return request;
}
} // namespace

int main(int argc, char **argv)
{
    const CaseFolder folder = beginCase(argc, argv);
    g_trouble = folder.trouble;
    g_crashBeforeAnswer = std::getenv("CRASH") != nullptr && std::string(std::getenv("CRASH")) == "before";
    Store store;
    store.put("op", "config",
              R"({"Version":7,"Routes":[{"Name":"r-ask","Host":"circle.example","Prefix":"/ask/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":1600,)"
              R"("Priority":2,"Service":"desk","MaxAttempts":1,"Stages":[],"AllowAnonymous":false,"SessionAffinity":true,"StreamResume":false,"GapAimMs":400}],)"
              R"("Services":[{"Name":"desk","HealthPath":"/health","MaxConnections":300,"Protocol":"h1","Tls":false,)"
              R"("Engine":{"Slots":48,"KvCapacityTokens":444000,"Stride":5,"Models":[{"Name":"m"}]}}],)"
              R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
              R"("Tenants":[{"Name":"circle","ApiKeys":["key-of-the-circle"],"Priority":1}]})");
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < Workers; ++i) {
        workers.push_back(std::make_unique<Worker>(store, "desk", i % 2 == 0 ? "kolkata" : "howrah", 48, serveStream));
    }
    Node one(folder.temporary, "edge-kolkata-1", "kolkata", store.port());
    Node two(folder.temporary, "edge-howrah-1", "howrah", store.port());
    one.awaitReady();
    two.awaitReady();
    sleepS(ContactS + 1);

    const double until = nowS() + LengthS;
    std::atomic<bool> stop{false};
    std::vector<std::thread> innocents;
    for (int i = 0; i < 6; ++i) {
        innocents.emplace_back([&, i] {
            const std::string name = "other" + std::to_string(i + 1);
            while (!stop) {
                if (const auto wire = connectTo(i % 2 == 0 ? one.front() : two.front())) {
                    (void)exchange(*wire, streamRequest(false), name.c_str());
                }
                sleepS(0.3);
            }
        });
    }
    sleepS(2);
    for (int i = 0; nowS() < until; ++i) { // the deadly request: same path, caller and body, "at any machine"
        if (const auto wire = connectTo(i % 2 == 0 ? one.front() : two.front())) {
            (void)exchange(*wire, streamRequest(true), "deadly");
        }
        sleepS(PauseBetweenTriesS);
    }
    stop = true;
    for (std::thread &client : innocents) {
        client.join();
    }
    sleepS(1);
    const std::lock_guard lock(g_mutex);
    int late = 0;
    for (const double at : g_deadlyRuns) {
        late += g_crashes.size() >= 3 && at > g_crashes[2] + ContactS ? 1 : 0;
    }
    endCase(late > AllowedRetries, "the deadly request was run " + std::to_string(g_deadlyRuns.size()) + " times and crashed workers " + std::to_string(g_crashes.size())
                                       + " times; " + std::to_string(late) + " retries reached workers later than ContactMs after the third crash (allowed: 3); "
                                       + std::to_string(g_innocentLost) + " other requests were lost with their workers");
}
