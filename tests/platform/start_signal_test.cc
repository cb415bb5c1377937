// Signals that reach a gateway's process while it starts.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "tests/platform/world.h"
#include "tests/process/child_process.h"

namespace knapweed::testing {
namespace {

// A folder for the settings and the log of one process.
struct Folder {
  Folder() { REQUIRE(mkdtemp(path.data()) != nullptr); }
  ~Folder() {
    for (const char* name : {"/settings", "/log"}) {
      std::remove((path + name).c_str());
    }
    rmdir(path.c_str());
  }
  std::string path = "/tmp/knapweed-XXXXXX";
};

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Settings with ports that are free now; nothing listens on the store's.
std::string SettingsText() {
  TestCluster ports(1);
  const gateway::GatewayConfig config = ports.configs[0];
  std::ostringstream text;
  text << "[gateway]\nname = g\nfailure_domain = a\ncallers = "
       << config.callers.ToString()
       << "\nreadiness = " << config.readiness.ToString()
       << "\npeers = " << config.peers.ToString()
       << "\n[metrics]\nlisten = " << config.metrics.ToString()
       << "\n[store]\naddress = " << config.store.ToString() << "\n";
  return text.str();
}

// Guards against a process that ends by the default action of a signal, since
// it came before the handlers were set.
TEST_CASE("a signal while the settings are read does not end a gateway") {
  struct Row {
    const char* what;
    int signal;
    const char* logged;
  };
  // Writing to a process that has ended fails in place of ending the test.
  std::signal(SIGPIPE, SIG_IGN);
  const Row rows[] = {{"reload", SIGHUP, "Settings reloaded."},
                      {"stop", SIGTERM, "Stopped."}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const std::string text = SettingsText();
    Folder folder;
    const std::string settings = folder.path + "/settings";
    REQUIRE(mkfifo(settings.c_str(), 0600) == 0);
    ChildProcess child({KNAPWEED_GATEWAY_PROGRAM, "--config", settings},
                       folder.path + "/log");
    // Opens as soon as the process has begun to read its settings.
    const int fd = open(settings.c_str(), O_WRONLY);
    REQUIRE(fd >= 0);
    kill(child.pid(), row.signal);
    // A reload reads a plain file.
    std::remove(settings.c_str());
    std::ofstream(settings) << text;
    SleepFor(Ms{200});
    CHECK(child.Running());
    CHECK(write(fd, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
    close(fd);
    const Clock clock = Clock::Steady();
    const Ms until = clock.Now() + Seconds(12);
    const auto logged = [&] {
      return ReadText(folder.path + "/log").find(row.logged) !=
             std::string::npos;
    };
    while (!logged() && clock.Now() < until) SleepFor(Ms{50});
    CHECK(logged());
    if (row.signal == SIGHUP) CHECK(child.Running());
  }
}

}  // namespace
}  // namespace knapweed::testing
