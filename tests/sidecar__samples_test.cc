#include <doctest/doctest.h>

#include <filesystem>
#include <string>

#include "knapweed/sidecar/sidecar_config.h"

namespace knapweed {
namespace {

TEST_CASE("every sample file of sidecar settings is valid") {
  int read = 0;
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(KNAPWEED_SAMPLES)) {
    const std::string name = it.path().filename().string();
    if (!name.starts_with("sidecar") || !name.ends_with(".ini")) continue;
    const absl::StatusOr<SidecarConfig> config =
        LoadSidecarConfig(it.path().string());
    CAPTURE(config.status().ToString());
    CHECK(config.ok());
    ++read;
  }
  CHECK(read >= 4);
}

}  // namespace
}  // namespace knapweed
