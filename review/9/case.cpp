// A bound in the settings becomes a fraction (hup); then the process is stopped and started again (roll_term).
#include "../6/support.h"

using namespace review;

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store(record);
    const auto door = store.openDoor("127.0.0.1");
    const Server worker("127.0.0.1", [&](const Message &request, int fd) {
        const std::string attempt = request.header("X-Attempt-Id");
        record.add("worker i-1 runs " + attempt);
        return sendAll(fd, replyText(200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: i-1." + attempt + "\r\n", "balance"));
    });
    store.put("op", "config",
              configurationOf(10, Json::array({routeOf("ledger-read", "/ledger/", "idempotent", "payout-ledger")}), Json::array({{{"Name", "payout-ledger"}}}),
                              Json::array({{{"Name", "circle"}, {"ApiKeys", {"key-1"}}}})));
    store.put("servers", "i-1", serverEntry("payout-ledger", worker.address(), "kolkata"));
    Node node(folder.path(), machineSettings("edge-kolkata-1", "kolkata", "127.0.0.1", door->server->address()), record);
    node.start();
    const auto serves = [&] {
        const std::string attempt = newAttempt();
        const Answer answer = callOnce(node.front(), requestText("GET", "/ledger/1", attempt, 4000, "key-1"), Milliseconds(5000));
        record.add("client: " + attempt + " got status " + std::to_string(answer.status()));
        return answer.status() == 200;
    };
    if (!node.awaitReady(Milliseconds(20000)) || !serves()) {
        return CouldNotRun;
    }
    if (troubled()) {
        node.settings()["Bounds"]["GraceS"] = 7.5;
        record.add("the settings change: GraceS 8 becomes 7.5");
    }
    node.writeSettings();
    node.signal(SIGHUP);
    sleepMs(1000);
    node.signal(SIGTERM);
    const auto ended = node.awaitEnd(Milliseconds(9000));
    record.add(std::string("the process has ") + (ended ? "ended" : "not ended") + " after SIGTERM");
    if (!ended) {
        return CouldNotRun;
    }
    // The platform starts a process that has ended again, with the settings in effect.
    int starts = 0;
    bool ready = false;
    const long long begun = record.now();
    while (!ready && record.now() - begun < 12000) { // RecoveryS
        node.start();
        ++starts;
        ready = node.awaitReady(Milliseconds(1500));
        if (!ready) {
            if (const auto status = node.awaitEnd(Milliseconds(0))) {
                record.add("the process has ended by itself with status " + std::to_string(WEXITSTATUS(*status)));
            } else {
                node.awaitReady(Milliseconds(5000));
                node.kill();
            }
        }
    }
    const bool served = ready && serves();
    node.kill();
    if (!served) {
        record.add("Fault: the program does not start");
    }
    std::cout << "starts " << starts << ", served after it: " << served << std::endl;
    std::filesystem::remove_all(folder.path());
    std::_Exit(served ? Held : Broken);
}
