// A stream is taken up at a node that the store has turned away just before servers of another software version were added.
#include "../streams-3.h"

using namespace review;

namespace
{
constexpr int Streams = 24;

int run(const Script &script)
{
    Store store;
    const std::string regions = R"({"kolkata": "bengal", "howrah": "bengal"})";
    std::vector<std::unique_ptr<StreamWorker>> workers;
    std::vector<std::unique_ptr<Node>> nodes;
    store.write("op", "config", streamConfiguration());
    workers.push_back(std::make_unique<StreamWorker>(store, "i-old-1", "kolkata", "7"));
    workers.push_back(std::make_unique<StreamWorker>(store, "i-old-2", "howrah", "7"));
    const std::vector<std::string> zones{"kolkata", "howrah", "howrah"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const std::size_t door = store.addAddress();
        nodes.push_back(std::make_unique<Node>(script.root, script.folder, NodeSetup{"edge-" + std::to_string(i + 1), zones[i], store.address(door), regions}));
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
    workers.push_back(std::make_unique<StreamWorker>(store, "i-new-1", "kolkata", "8"));
    workers.push_back(std::make_unique<StreamWorker>(store, "i-new-2", "howrah", "8"));
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
    if (script.trouble || script.killOnly) {
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
