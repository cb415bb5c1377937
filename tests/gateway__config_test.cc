// Tests of the gateway's settings file.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "knapweed/gateway/gateway.h"

namespace knapweed::gateway {
namespace {

// A settings file with `more` in its section of the gateway.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& more) {
    std::ofstream(path_) << "[gateway]\nname = g\nfailure_domain = a\n"
                            "callers = 127.0.0.1:1\n"
                            "readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n"
                         << more
                         << "\n[metrics]\nlisten = 127.0.0.1:4\n"
                            "[store]\naddress = 127.0.0.1:5\n";
  }
  ~SettingsFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "gateway__config_test.ini";
};

TEST_CASE("the memory setting is off, or large enough to serve") {
  struct Row {
    const char* setting;
    bool valid;
    uint64_t memory_mb;
  };
  const Row rows[] = {
      {"", true, 0},
      {"memory_mb = 0", true, 0},
      {"memory_mb = 32", true, 32},
      {"memory_mb = 88", true, 88},
      {"memory_mb = 31", false, 0},
      {"memory_mb = -1", false, 0},
      {"memory_mb = much", false, 0},
      // Bytes in place of MB.
      {"memory_mb = 92274688", false, 0},
  };
  for (const Row& row : rows) {
    const std::string setting = row.setting;
    CAPTURE(setting);
    const SettingsFile file(setting);
    const absl::StatusOr<GatewayConfig> config = ReadGatewayConfig(file.path());
    CHECK(config.ok() == row.valid);
    if (config.ok()) {
      CHECK(config->memory_mb == row.memory_mb);
    } else {
      CHECK(config.status().message().find("memory_mb") != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace knapweed::gateway
