// A planned stop: a client goes on using its kept connection, which the node has not said it would close.
#include "standins.h"

#include <algorithm>

using namespace review;

namespace
{
constexpr double GraceS = 8; // the platform sends SIGKILL this long after SIGTERM
constexpr int EventGapMs = 150;
constexpr int TokensPerEvent = 5;
constexpr int Clients = 4;
constexpr double LateAfterSigtermS = 3; // the rule excuses some requests that were sent earlier

struct Run {
    double begunAt = 0;
    bool sentAll = false; // the worker sent its whole answer
    double cutAt = 0; // when the worker saw that its caller had closed the connection
};
std::mutex g_mutex;
std::map<std::string, Run> g_runs; // by attempt id

bool serveStream(Worker &worker, Wire &wire, const Head &head, const std::string & /*body*/)
{
    const std::string attempt = head.get("X-Attempt-Id");
    {
        const std::lock_guard lock(g_mutex);
        g_runs[attempt].begunAt = nowS();
    }
    record.line("worker %s runs %s, told %s ms", worker.id().c_str(), attempt.c_str(), head.get("X-Deadline-Ms").c_str());
    const int events = outputTokens(head) / TokensPerEvent;
    bool sent = wire.send(streamHead(worker, head));
    for (int i = 1; sent && i <= events; ++i) {
        sleepS(EventGapMs / 1000.0);
        sent = !wire.gone() && wire.send(chunkOf(eventOf(i)));
    }
    sent = sent && wire.send("0\r\n\r\n");
    const std::lock_guard lock(g_mutex);
    g_runs[attempt].sentAll = sent;
    g_runs[attempt].cutAt = sent ? 0 : nowS();
    record.line("worker %s %s %s", worker.id().c_str(), sent ? "has sent the whole answer to" : "finds the connection closed for", attempt.c_str());
    return false;
}

ClientRequest streamRequest(int events)
{
    ClientRequest request;
    request.path = "/ask/now";
    request.key = "key-of-the-circle";
    request.body = "{}";
    request.deadlineMs = 12000;
    request.headers = {{"X-Model", "m"}, {"X-Token-Count", "100," + std::to_string(events * TokensPerEvent)}, {"X-Prompt-Prefix", "5c1e07a2:60,91bd3f06:40"}};
    return request;
}

struct Outcome {
    ClientRequest request;
    ClientReply first;
    ClientReply second;
};

void runClient(int number, int port, Outcome &outcome)
{
    const std::string name = "c" + std::to_string(number);
    const auto wire = connectTo(port);
    if (!wire) {
        giveUp("a client can't connect");
    }
    outcome.first = exchange(*wire, streamRequest(25), name.c_str()); // 3.8 s
    if (!outcome.first.complete || outcome.first.closes) {
        record.line("client %s doesn't use its connection again", name.c_str());
        return;
    }
    outcome.request = streamRequest(36); // 5.4 s, well within its 12 s
    outcome.second = exchange(*wire, outcome.request, name.c_str());
}
} // namespace

int main(int argc, char **argv)
{
    const CaseFolder folder = beginCase(argc, argv);
    Store store;
    store.put("op", "config",
              R"({"Version":7,"Routes":[{"Name":"r-ask","Host":"circle.example","Prefix":"/ask/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":1600,)"
              R"("Priority":2,"Service":"desk","MaxAttempts":1,"Stages":[],"AllowAnonymous":false,"SessionAffinity":true,"StreamResume":false,"GapAimMs":400}],)"
              R"("Services":[{"Name":"desk","HealthPath":"/health","MaxConnections":300,"Protocol":"h1","Tls":false,)"
              R"("Engine":{"Slots":48,"KvCapacityTokens":444000,"Stride":5,"Models":[{"Name":"m"}]}}],)"
              R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
              R"("Tenants":[{"Name":"circle","ApiKeys":["key-of-the-circle"],"Priority":1}]})");
    Worker first(store, "desk", "kolkata", 48, serveStream);
    Worker second(store, "desk", "howrah", 48, serveStream);
    Node stopped(folder.temporary, "edge-kolkata-1", "kolkata", store.port());
    Node other(folder.temporary, "edge-howrah-1", "howrah", store.port());
    stopped.awaitReady();
    other.awaitReady();
    sleepS(4); // ContactMs without any disruption

    std::vector<Outcome> outcomes(Clients);
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back(runClient, i + 1, stopped.front(), std::ref(outcomes[static_cast<std::size_t>(i)]));
    }
    sleepS(0.3);
    const double termAt = nowS();
    if (folder.trouble) {
        record.line("SIGTERM to %s", stopped.name().c_str());
        stopped.signal(SIGTERM);
    }
    while (folder.trouble && !stopped.ended() && nowS() < termAt + GraceS) {
        sleepS(0.02);
    }
    if (folder.trouble && !stopped.ended()) {
        record.line("SIGKILL to %s", stopped.name().c_str());
        stopped.kill();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    sleepS(0.5);

    int cut = 0;
    int used = 0;
    const std::lock_guard lock(g_mutex);
    for (const Outcome &outcome : outcomes) {
        const auto run = g_runs.find(outcome.request.id);
        if (outcome.second.sentAt == 0) {
            continue;
        }
        ++used;
        const bool passedOn = run != g_runs.end();
        const bool late = outcome.second.sentAt > termAt + LateAfterSigtermS;
        const bool beforeDeadline = outcome.second.endedAt < outcome.second.sentAt + 12;
        if (!outcome.second.complete && passedOn && !run->second.sentAll && beforeDeadline && (late || !folder.trouble)) {
            ++cut;
            record.line("LOST: %s was sent %.2f s after SIGTERM, passed on to a worker, and cut %.2f s after SIGTERM, %.2f s before its deadline",
                        outcome.request.id.c_str(), outcome.second.sentAt - termAt, outcome.second.endedAt - termAt,
                        outcome.second.sentAt + 12 - outcome.second.endedAt);
        }
    }
    if (folder.trouble && used == 0) {
        giveUp("no client could use its connection again");
    }
    endCase(cut > 0,
            "of " + std::to_string(used) + " requests sent on kept connections, " + std::to_string(cut) + " were passed on to a worker and then cut without a complete answer");
}
