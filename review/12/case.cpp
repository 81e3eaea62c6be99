// A server that answers without a length is cut off from the machines of the system; behind the cut it crashes and starts again (TROUBLE=1). The same without
// a cut, where the machine of the system freezes meanwhile (TROUBLE=freeze); with the crash only (TROUBLE=kill).
#include "../harness-3.h"

using namespace review;

namespace
{
constexpr int Requests = 12;
constexpr int WorkMs = 1500; // from the first half of an answer to the second one
constexpr int CrashMs = 2000; // the server is down for so long
constexpr int TroubleMs = 2500; // the cut, or the freeze
const std::string Half(400, 'a');
const std::string OtherHalf(400, 'b');

std::string configuration()
{
    const Json route{{"Name", "payout-release"}, {"Host", "ledger.example"}, {"Prefix", "/release/"}, {"Kind", "non_idempotent"}, {"Service", "payout-ledger"},
                     {"TimeoutMs", 4000},        {"TargetLatencyMs", 300},   {"Priority", 2},         {"MaxAttempts", 2},         {"AllowAnonymous", false}};
    return Json{{"Version", 1},
                {"Routes", Json::array({route})},
                {"Services", Json::array({Json{{"Name", "payout-ledger"}}})},
                {"Tenants", Json::array({Json{{"Name", "circle"}, {"ApiKeys", {"key-1"}}}})},
                {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 65536}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}
        .dump();
}

// The server's process: answers with neither a length nor chunks; the answer ends with its connection.
int serve(int port, const std::string &id)
{
    std::signal(SIGPIPE, SIG_IGN);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const Server server(
        [&id](const Request &request) {
            Answer answer;
            const std::string attempt = request.fields.get("X-Attempt-Id");
            if (request.fields.get("X-Expect-Instance") != id) {
                answer.status = 421;
                answer.fields.list = {{"X-Not-Executed", "1"}};
                return answer;
            }
            sendAll(request.descriptor, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + id + "." + attempt
                        + "\r\nX-Server-Load: 1,0,48\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + Half);
            sleepMs(WorkMs);
            sendAll(request.descriptor, OtherHalf);
            answer.written = true;
            return answer;
        },
        port);
    for (;;) {
        ::pause();
    }
}

// The way between the machines of the system and the server. While it is cut, it keeps all bytes and ends of connections, and takes no new connections.
class Way
{
public:
    explicit Way(int target)
        : m_target(target)
        , m_listener(listenOn(0, m_port))
    {
        m_thread = std::thread([this] {
            while (!m_stopping) {
                pollfd entry{m_listener, POLLIN, 0};
                if (m_cut || ::poll(&entry, 1, 20) <= 0 || m_cut) {
                    sleepMs(m_cut ? 5 : 0);
                    continue;
                }
                const int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                const int server = caller < 0 ? -1 : connectTo(m_target);
                if (server < 0) {
                    resetOnClose(caller);
                    ::close(caller);
                    continue;
                }
                std::thread([this, caller, server] {
                    std::thread back([this, caller, server] {
                        forward(server, caller);
                    });
                    forward(caller, server);
                    back.join();
                    ::close(caller);
                    ::close(server);
                }).detach();
            }
        });
    }
    ~Way()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }
    int port() const
    {
        return m_port;
    }
    void setCut(bool cut)
    {
        m_cut = cut;
    }

private:
    void forward(int from, int to)
    {
        char buffer[16384];
        for (;;) {
            const ssize_t count = ::recv(from, buffer, sizeof buffer, 0);
            while (m_cut) {
                sleepMs(2);
            }
            if (count < 0) {
                resetOnClose(to);
            }
            if (count <= 0 || !sendAll(to, std::string(buffer, static_cast<std::size_t>(count)))) {
                ::shutdown(to, SHUT_WR);
                return;
            }
        }
    }

    const int m_target;
    int m_port = 0;
    const int m_listener;
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

class WorkerProcess
{
public:
    WorkerProcess(std::string program, int port)
        : m_program(std::move(program))
        , m_port(port)
    {
    }
    ~WorkerProcess()
    {
        kill();
    }
    void start(const std::string &id)
    {
        const std::string port = std::to_string(m_port);
        m_process = ::fork();
        if (m_process == 0) {
            char *const arguments[] = {const_cast<char *>(m_program.c_str()), const_cast<char *>("--serve"), const_cast<char *>(port.c_str()),
                                       const_cast<char *>(id.c_str()), nullptr};
            ::execv(m_program.c_str(), arguments);
            ::_exit(127);
        }
        (void)eventually(
            [this] {
                const int descriptor = connectTo(m_port);
                if (descriptor >= 0) {
                    ::close(descriptor);
                }
                return descriptor >= 0;
            },
            milliseconds(3000));
    }
    void kill()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }

private:
    const std::string m_program;
    const int m_port;
    pid_t m_process = -1;
};

int run(const Script &script)
{
    Store store;
    store.write("op", "config", configuration());
    const int port = freePort();
    WorkerProcess worker(script.root + "/target/review-3/case-12", port);
    worker.start("i-ledger-1");
    const char *const word = std::getenv("TROUBLE");
    const bool freezes = word != nullptr && std::string(word) == "freeze";
    const bool cuts = script.trouble && !freezes;
    Way way(port);
    const int address = freezes || script.killOnly ? port : way.port(); // without a cut the node calls the server itself
    std::atomic<int> sequence{0};
    const auto born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto registerAs = [&](const std::string &id, std::int64_t started) {
        store.write("servers", id,
                    Json{{"Service", "payout-ledger"}, {"Address", addressOf(address)}, {"Zone", "kolkata"}, {"Version", "7"}, {"Slots", 48}, {"State", "ready"},
                         {"ColdRemainingMs", 0}, {"Sequence", ++sequence}, {"born", started}}
                        .dump());
    };
    registerAs("i-ledger-1", born);
    const std::size_t door = store.addAddress();
    Node node(script.root, script.folder, NodeSetup{"edge-kolkata-1", "kolkata", store.address(door), R"({"kolkata": "bengal"})"});
    if (!eventually(
            [&] {
                return isReady(node);
            },
            milliseconds(15000))) {
        record().add("the node did not get ready");
        return CouldNotRun;
    }
    sleepMs(4000);
    registerAs("i-ledger-1", born);
    std::vector<Reply> replies(Requests);
    std::vector<std::thread> clients;
    for (int i = 0; i < Requests; ++i) {
        clients.emplace_back([&, i] {
            const std::string attempt = "p" + std::to_string(i);
            record().add("sent   " + attempt);
            const Reply reply = call(node.callers(),
                                     "POST /release/2f HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: " + attempt
                                         + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody",
                                     milliseconds(4000));
            replies[static_cast<std::size_t>(i)] = reply;
            record().add("answer " + attempt + ": " + std::to_string(reply.status) + (reply.complete ? ", complete, " : ", cut or none, ")
                         + std::to_string(reply.body.size()) + " bytes" + (reply.fields.get("X-Server-Seal").empty() ? "" : ", with the server's seal"));
        });
    }
    sleepMs(300);
    if (cuts) {
        record().add("the server is cut off");
        way.setCut(true);
    } else if (freezes) {
        record().add("the node freezes");
        node.kill(SIGSTOP);
    }
    if (script.trouble || script.killOnly) {
        sleepMs(200);
        record().add("SIGKILL to the server's process");
        worker.kill();
        sleepMs(CrashMs);
        worker.start("i-ledger-2");
        record().add("the server's process is there again, as a new incarnation");
        registerAs("i-ledger-2", born + 10000);
        sleepMs(TroubleMs - CrashMs - 200);
    }
    if (cuts) {
        record().add("the cut heals");
        way.setCut(false);
    } else if (freezes) {
        record().add("the node wakes");
        node.kill(SIGCONT);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int parts = 0;
    int whole = 0;
    for (const Reply &reply : replies) {
        const bool success = reply.status == 200 && reply.complete;
        whole += success && reply.body == Half + OtherHalf ? 1 : 0;
        parts += success && reply.body != Half + OtherHalf ? 1 : 0;
    }
    record().add(std::to_string(parts) + " of " + std::to_string(Requests) + " clients got a part of the server's answer as a whole one, " + std::to_string(whole)
                 + " the whole answer; one breaks MIXED");
    node.kill(SIGKILL);
    worker.kill();
    store.stop();
    return parts > 0 ? Broken : Held;
}
} // namespace

int main(int argc, char **argv)
{
    if (argc == 4 && std::string(argv[1]) == "--serve") {
        return serve(std::stoi(argv[2]), argv[3]);
    }
    return runScript(argc, argv, run);
}
