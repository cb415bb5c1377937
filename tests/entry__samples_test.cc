#include <doctest/doctest.h>

#include <filesystem>
#include <string>

#include "knapweed/entry/entry_config.h"

namespace knapweed {
namespace {

TEST_CASE("all sample settings files of an entry are valid") {
  int read = 0;
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(KNAPWEED_SAMPLES)) {
    const std::string name = it.path().filename().string();
    if (!name.starts_with("entry") || !name.ends_with(".ini")) continue;
    const absl::StatusOr<EntryConfig> config =
        LoadEntryConfig(it.path().string());
    CAPTURE(config.status().ToString());
    CHECK(config.ok());
    ++read;
  }
  CHECK(read >= 2);
}

}  // namespace
}  // namespace knapweed
