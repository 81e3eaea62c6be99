// A stream is taken up at a node that the store has turned away just before servers of another software version were added.
#include "../harness-3.h"

using namespace review;

namespace
{
constexpr int Streams = 24;
constexpr int Events = 24;
constexpr int EventMs = 200; // between two events
constexpr int DeadlineMs = 8000;

std::string configuration()
{
    const Json route{{"Name", "member-explain"}, {"Host", "desk.example"},  {"Prefix", "/explain/"}, {"Kind", "streaming"},    {"Service", "model-desk"},
                     {"StreamResume", true},     {"TimeoutMs", DeadlineMs}, {"TargetLatencyMs", 1600}, {"GapAimMs", 400},      {"Priority", 2},
                     {"MaxAttempts", 2},         {"SessionAffinity", true}, {"AllowAnonymous", false}};
    return Json{{"Version", 1},
                {"Routes", Json::array({route})},
                {"Services", Json::array({Json{{"Name", "model-desk"}, {"Engine", {{"Slots", 48}, {"KvCapacityTokens", 444000}}}}})},
                {"Tenants", Json::array({Json{{"Name", "circle"}, {"ApiKeys", {"key-1"}}}})},
                {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 65536}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}}
        .dump();
}

// A model server. Each event says which server wrote it and at which software version. It goes on after Last-Event-Id, as it is asked to.
class Worker
{
public:
    Worker(Store &store, std::string id, std::string zone, std::string version)
        : m_store(store)
        , m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_version(std::move(version))
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_server([this](const Request &request) {
            return handle(request);
        })
    {
        beat();
        m_thread = std::thread([this] {
            while (!m_stopping) {
                for (int i = 0; i < 24 && !m_stopping; ++i) {
                    sleepMs(50);
                }
                beat();
            }
        });
    }
    ~Worker()
    {
        m_stopping = true;
        m_thread.join();
        m_server.stop();
    }

private:
    void beat()
    {
        m_store.write("servers", m_id,
                      Json{{"Service", "model-desk"}, {"Address", m_server.address()}, {"Zone", m_zone}, {"Version", m_version}, {"Slots", 48},
                           {"State", "ready"}, {"ColdRemainingMs", 0}, {"Sequence", ++m_sequence}, {"born", m_born}}
                          .dump());
    }
    Answer handle(const Request &request)
    {
        Answer answer;
        const std::string attempt = request.fields.get("X-Attempt-Id");
        if (const std::string expected = request.fields.get("X-Expect-Instance"); !expected.empty() && expected != m_id) {
            answer.status = 421;
            answer.fields.list = {{"X-Not-Executed", "1"}};
            return answer;
        }
        const std::string after = request.fields.get("Last-Event-Id");
        record().add("run    " + attempt + " at " + m_id + " (software " + m_version + ")" + (after.empty() ? "" : ", goes on after event " + after));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + m_id + "." + attempt
            + "\r\nX-Weight-Versions: 1\r\nX-Server-Load: 1,0,48\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        answer.written = true;
        sleepMs(20);
        bool connected = sendAll(request.descriptor, head);
        for (int event = after.empty() ? 1 : std::stoi(after) + 1; connected && event <= Events && !m_stopping; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + m_id + " " + m_version + "\n\n";
            std::ostringstream size;
            size << std::hex << text.size();
            connected = sendAll(request.descriptor, size.str() + "\r\n" + text + "\r\n");
            sleepMs(EventMs);
        }
        if (connected) {
            sendAll(request.descriptor, "0\r\n\r\n");
        }
        return answer;
    }

    Store &m_store;
    const std::string m_id;
    const std::string m_zone;
    const std::string m_version;
    const std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_stopping{false};
    Server m_server;
    std::thread m_thread;
};

struct Stream {
    std::string first; // X-Attempt-Id of the attempt that brought the first event
    int lastEvent = 0;
    std::set<std::string> versions;
    bool whole = false;
    int tries = 0;
    std::string ends;
};

// One try at a stream. Takes up what is missing if the stream has begun.
void attempt(Stream &stream, int port, int number, Clock::time_point deadline)
{
    const std::string id = "s" + std::to_string(number) + "t" + std::to_string(++stream.tries);
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    std::string request = "POST /explain/2f HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(left.count()) + "\r\nX-Model: m\r\nX-Token-Count: 60,72\r\nX-Prompt-Prefix: a" + std::to_string(number)
        + ":40,b" + std::to_string(number) + ":20\r\n";
    if (stream.lastEvent > 0) {
        request += "Last-Event-Id: " + std::to_string(stream.lastEvent) + "\r\nResumes: " + stream.first + "\r\n";
    }
    request += "Content-Length: 4\r\n\r\nbody";
    record().add("sent   " + id + (stream.lastEvent > 0 ? ", takes up " + stream.first + " after event " + std::to_string(stream.lastEvent) : ""));
    std::size_t read = 0;
    const Reply reply = call(port, request, left, [&](const std::string &body) {
        std::size_t end = 0;
        while ((end = body.find("\n\n", read)) != std::string::npos) {
            std::istringstream in(body.substr(read, end - read));
            read = end + 2;
            std::string word;
            std::string server;
            std::string version;
            int event = 0;
            in >> word >> event >> word >> server >> version;
            stream.first = stream.lastEvent == 0 ? id : stream.first;
            stream.lastEvent = event;
            stream.versions.insert(version);
        }
    });
    stream.whole = reply.complete && stream.lastEvent == Events;
    stream.ends += (stream.ends.empty() ? "" : ", then ") + std::to_string(reply.status) + (reply.complete ? "" : " cut");
    record().add("answer " + id + ": " + std::to_string(reply.status) + (reply.complete ? " whole" : " cut") + ", last event " + std::to_string(stream.lastEvent)
                 + (reply.status == 503 ? ", Retry-After " + reply.fields.get("Retry-After") + " " + reply.body : ""));
}

int run(const Script &script)
{
    Store store;
    const std::string regions = R"({"kolkata": "bengal", "howrah": "bengal"})";
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Node>> nodes;
    store.write("op", "config", configuration());
    workers.push_back(std::make_unique<Worker>(store, "i-old-1", "kolkata", "7"));
    workers.push_back(std::make_unique<Worker>(store, "i-old-2", "howrah", "7"));
    const std::vector<std::string> zones{"kolkata", "howrah", "howrah"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const std::size_t door = store.addAddress();
        nodes.push_back(
            std::make_unique<Node>(script.root, script.folder, NodeSetup{"edge-" + std::to_string(i + 1), zones[i], store.address(door), regions}));
    }
    Node &first = *nodes[0];
    Node &second = *nodes[1];
    const bool ready = eventually(
        [&] {
            return isReady(*nodes[0]) && isReady(*nodes[1]) && isReady(*nodes[2]);
        },
        milliseconds(15000));
    if (!ready) {
        record().add("the nodes did not get ready");
        return CouldNotRun;
    }
    sleepMs(12000); // a quiet time, as before the traffic of a day
    record().add("rows of the table versions: " + std::to_string(store.countOf("versions")));
    if (script.trouble) {
        record().add("the store turns " + second.name() + " away (503) from now on");
        store.setMode(1, Store::Mode::Busy);
    }
    sleepMs(400);
    record().add("two servers of software version 8 are added");
    workers.push_back(std::make_unique<Worker>(store, "i-new-1", "kolkata", "8"));
    workers.push_back(std::make_unique<Worker>(store, "i-new-2", "howrah", "8"));
    sleepMs(900);
    std::vector<Stream> streams(Streams);
    std::vector<std::thread> clients;
    const auto deadline = Clock::now() + milliseconds(DeadlineMs);
    for (int i = 0; i < Streams; ++i) {
        clients.emplace_back([&, i] {
            attempt(streams[static_cast<std::size_t>(i)], first.callers(), i, deadline);
            for (int again = 0; again < 2 && !streams[static_cast<std::size_t>(i)].whole && Clock::now() + milliseconds(300) < deadline; ++again) {
                sleepMs(again == 0 ? 30 : 300);
                attempt(streams[static_cast<std::size_t>(i)], second.callers(), i, deadline);
            }
        });
        sleepMs(10);
    }
    if (script.trouble) {
        sleepMs(1200);
        record().add("SIGKILL to " + first.name());
        first.kill(SIGKILL);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    if (script.trouble) {
        store.setMode(1, Store::Mode::Serves);
        record().add("the store serves " + second.name() + " again");
    }
    int joined = 0;
    int whole = 0;
    int begunAtNew = 0;
    for (int i = 0; i < Streams; ++i) {
        const Stream &stream = streams[static_cast<std::size_t>(i)];
        std::string versions;
        for (const std::string &version : stream.versions) {
            versions += " " + version;
        }
        joined += stream.versions.size() > 1 ? 1 : 0;
        whole += stream.whole ? 1 : 0;
        begunAtNew += stream.versions.count("8") > 0 ? 1 : 0;
        record().add("stream " + std::to_string(i) + ": events up to " + std::to_string(stream.lastEvent) + " of software" + versions
                     + (stream.whole ? ", whole" : ", not whole") + " (" + stream.ends + ")");
    }
    record().add(std::to_string(joined) + " of " + std::to_string(Streams) + " streams hold events of two software versions; " + std::to_string(begunAtNew)
                 + " hold events of version 8; " + std::to_string(whole) + " came whole; more than two joined streams break ORDER");
    for (const auto &node : nodes) {
        node->kill(SIGKILL);
    }
    store.stop();
    if (begunAtNew == 0) {
        return CouldNotRun;
    }
    return joined > 2 ? Broken : Held;
}
} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
