// Settings files as the platform renders them, and gateways that start on them.
#include <doctest/doctest.h>
#include <stdlib.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "tests/platform/world.h"
#include "tests/process/child_process.h"

namespace knapweed::testing {
namespace {

using Fields = std::map<std::string, std::string>;

// What the platform writes for the placeholders of the template.
Fields PlainFields() {
  TestCluster ports(1);
  const gateway::GatewayConfig config = ports.configs[0];
  // An address of its own, since the port of the metrics is fixed.
  const std::string ip = "127.77." + std::to_string(getpid() / 250 % 250) +
                         "." + std::to_string(getpid() % 250 + 1);
  return {{"node_name", "g"},
          {"zone", "a"},
          {"ip", ip},
          {"seeds", config.peers.ToString()},
          {"listen.front", config.callers.ToString()},
          {"listen.ready_addr", config.readiness.ToString()},
          {"listen.control", config.peers.ToString()},
          {"limits.memory_mb", "130"},
          {"platform.address", config.store.ToString()},
          {"platform.row_bytes", "65536"},
          {"bounds.quota_window_s", "5"},
          {"bounds.quota_over", "0.1"},
          {"bounds.quota_slack", "20"},
          {"bounds.grace_s", "8"}};
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string Render(const Fields& fields) {
  std::string text = ReadText(KNAPWEED_SETTINGS_TEMPLATE);
  for (const auto& [field, value] : fields) {
    const std::string mark = "{{" + field + "}}";
    const size_t at = text.find(mark);
    REQUIRE(at != std::string::npos);
    text.replace(at, mark.size(), value);
  }
  REQUIRE(text.find("{{") == std::string::npos);
  return text;
}

// The program on settings that a test writes; it is killed at the end.
class RenderedGateway {
 public:
  explicit RenderedGateway(const Fields& fields) {
    REQUIRE(mkdtemp(folder_.data()) != nullptr);
    Write(fields);
    child_.emplace(std::vector<std::string>{KNAPWEED_GATEWAY_PROGRAM,
                                            "--config", settings_path()},
                   log_path());
  }
  ~RenderedGateway() {
    child_.reset();
    std::remove(settings_path().c_str());
    std::remove(log_path().c_str());
    rmdir(folder_.c_str());
  }
  RenderedGateway(const RenderedGateway&) = delete;
  RenderedGateway& operator=(const RenderedGateway&) = delete;

  void Write(const Fields& fields) {
    std::ofstream(settings_path()) << Render(fields);
  }
  // Waits until a text has been logged; false after 5 s or if it ends.
  bool WaitForLog(const std::string& text) {
    const Clock clock = Clock::Steady();
    const Ms until = clock.Now() + Seconds(5);
    while (clock.Now() < until) {
      if (Log().find(text) != std::string::npos) return true;
      if (!child_->Running()) return false;
      SleepFor(Ms{20});
    }
    return false;
  }
  // Returns the value of a figure in the last line that states those in force.
  std::string Figure(const std::string& name) const {
    const std::string log = Log();
    const size_t line = log.rfind("Figures in force.");
    if (line == std::string::npos) return "none";
    const size_t at = log.find(" " + name + "=", line);
    if (at == std::string::npos) return "none";
    const size_t begin = at + name.size() + 2;
    return log.substr(begin, log.find_first_of(" \n", begin) - begin);
  }
  std::string Log() const { return ReadText(log_path()); }
  ChildProcess& child() { return *child_; }

 private:
  std::string settings_path() const { return folder_ + "/settings"; }
  std::string log_path() const { return folder_ + "/log"; }

  std::string folder_ = "/tmp/knapweed-XXXXXX";
  std::optional<ChildProcess> child_;
};

constexpr char kUnused[] = "can't be used";

// Guards against a figure that the platform may write and that keeps every
// gateway from starting.
TEST_CASE("a gateway starts on every figure that the platform may write") {
  struct Row {
    const char* field;
    const char* text;
    const char* figure;
    const char* in_force;
    bool is_used = true;
  };
  const Row rows[] = {
      {"bounds.grace_s", "8.0", "grace_ms", "8000"},
      {"bounds.grace_s", "7.5", "grace_ms", "7500"},
      {"bounds.grace_s", "1.001", "grace_ms", "1001"},
      {"bounds.grace_s", "7.9999", "grace_ms", "7999"},
      {"bounds.grace_s", "1e1", "grace_ms", "10000"},
      {"bounds.grace_s", "0", "grace_ms", "0"},
      {"bounds.grace_s", "false", "grace_ms", "0"},
      {"bounds.grace_s", "", "grace_ms", "8000"},
      {"bounds.grace_s", "true", "grace_ms", "8000", false},
      {"bounds.grace_s", "-1", "grace_ms", "8000", false},
      {"bounds.grace_s", "nan", "grace_ms", "8000", false},
      {"bounds.grace_s", "1e99", "grace_ms", "8000", false},
      {"bounds.quota_window_s", "5.0", "quota_window_ms", "5000"},
      {"bounds.quota_window_s", "2.5", "quota_window_ms", "2500"},
      {"bounds.quota_window_s", "0.0125", "quota_window_ms", "12"},
      {"bounds.quota_window_s", "1e1", "quota_window_ms", "10000"},
      {"bounds.quota_window_s", "", "quota_window_ms", "5000"},
      {"bounds.quota_window_s", "0", "quota_window_ms", "5000", false},
      {"bounds.quota_window_s", "false", "quota_window_ms", "5000", false},
      {"bounds.quota_window_s", "long", "quota_window_ms", "5000", false},
      {"bounds.quota_over", "0", "quota_over_share", "0.000000"},
      {"bounds.quota_over", "0.0", "quota_over_share", "0.000000"},
      {"bounds.quota_over", "false", "quota_over_share", "0.000000"},
      {"bounds.quota_over", "1.5", "quota_over_share", "1.500000"},
      {"bounds.quota_over", "1e1", "quota_over_share", "10.000000"},
      {"bounds.quota_over", "", "quota_over_share", "0.100000"},
      {"bounds.quota_over", "true", "quota_over_share", "0.100000", false},
      {"bounds.quota_over", "-0.1", "quota_over_share", "0.100000", false},
      {"bounds.quota_slack", "20.0", "quota_slack_calls", "20.000000"},
      {"bounds.quota_slack", "2.5", "quota_slack_calls", "2.500000"},
      {"bounds.quota_slack", "2e6", "quota_slack_calls", "2000000.000000"},
      {"bounds.quota_slack", "false", "quota_slack_calls", "0.000000"},
      {"bounds.quota_slack", "", "quota_slack_calls", "20.000000"},
      {"bounds.quota_slack", "inf", "quota_slack_calls", "20.000000", false},
      {"platform.row_bytes", "65536.0", "row_bytes", "65536"},
      {"platform.row_bytes", "32768.9", "row_bytes", "32768"},
      {"platform.row_bytes", "1e9", "row_bytes", "8388608"},
      {"platform.row_bytes", "", "row_bytes", "65536"},
      {"platform.row_bytes", "false", "row_bytes", "65536", false},
      {"platform.row_bytes", "100", "row_bytes", "65536", false},
      {"limits.memory_mb", "130.0", "memory_mb", "130"},
      {"limits.memory_mb", "99.9", "memory_mb", "99"},
      {"limits.memory_mb", "1e2", "memory_mb", "100"},
      {"limits.memory_mb", "false", "memory_mb", "0"},
      {"limits.memory_mb", "", "memory_mb", "0"},
      {"limits.memory_mb", "true", "memory_mb", "0", false},
      {"limits.memory_mb", "12", "memory_mb", "0", false},
      {"seeds", "", "grace_ms", "8000"},
  };
  for (const Row& row : rows) {
    const std::string stated = std::string(row.field) + "=" + row.text;
    CAPTURE(stated);
    Fields fields = PlainFields();
    fields[row.field] = row.text;
    RenderedGateway gateway(fields);
    CHECK(gateway.WaitForLog("Figures in force."));
    const std::string log = gateway.Log();
    CAPTURE(log);
    CHECK(gateway.child().Running());
    CHECK(gateway.Figure(row.figure) == row.in_force);
    CHECK((log.find(kUnused) == std::string::npos) == row.is_used);
  }
}

// Guards against settings that can't be used at all and are taken anyway.
TEST_CASE("a gateway that can't know its addresses says so and ends") {
  const char* const fields_without_default[] = {
      "node_name",         "zone",           "ip",
      "listen.ready_addr", "listen.control", "platform.address"};
  for (const char* field : fields_without_default) {
    const std::string name = field;
    CAPTURE(name);
    Fields fields = PlainFields();
    fields[name] = "";
    RenderedGateway gateway(fields);
    const Clock clock = Clock::Steady();
    const Ms until = clock.Now() + Seconds(5);
    while (gateway.child().Running() && clock.Now() < until) {
      SleepFor(Ms{20});
    }
    CHECK_FALSE(gateway.child().Running());
    CHECK(gateway.Log().find("/settings:") != std::string::npos);
  }
}

// Guards against a reload that one figure keeps from applying the others, and
// that gives up a figure in force for the default.
TEST_CASE("a reload takes the figures that can be used") {
  Fields fields = PlainFields();
  fields["bounds.quota_window_s"] = "4";
  RenderedGateway gateway(fields);
  REQUIRE(gateway.WaitForLog("Figures in force."));
  fields["bounds.quota_window_s"] = "true";
  fields["bounds.quota_slack"] = "12.5";
  gateway.Write(fields);
  kill(gateway.child().pid(), SIGHUP);
  CHECK(gateway.WaitForLog("quota_slack_calls=12.5"));
  CHECK(gateway.Figure("quota_window_ms") == "4000");
  CHECK(gateway.Log().find(kUnused) != std::string::npos);
}

// Guards against a stop that lasts as long as an earlier grace period allowed,
// so that the process is killed while it answers.
TEST_CASE("a stop ends within the grace period that the settings state now") {
  for (const bool sends_signal : {true, false}) {
    CAPTURE(sends_signal);
    Fields fields = PlainFields();
    RenderedGateway gateway(fields);
    REQUIRE(gateway.WaitForLog("Figures in force."));
    fields["bounds.grace_s"] = "1.5";
    gateway.Write(fields);
    if (sends_signal) {
      kill(gateway.child().pid(), SIGHUP);
      CHECK(gateway.WaitForLog("grace_ms=1500"));
    }
    const Clock clock = Clock::Steady();
    const Ms started_at = clock.Now();
    CHECK(gateway.child().Stop(Seconds(8)) == 0);
    CHECK(clock.Now() - started_at <= Ms{1500});
  }
}

}  // namespace
}  // namespace knapweed::testing
