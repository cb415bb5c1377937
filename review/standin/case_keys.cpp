// The operator takes all keys away. Callers that have none, or one that never
// was, go on sending.
#include "standin.hpp"

using namespace review;

namespace {

// Keys that are taken away end within this time (`revoke_ms`); a configuration
// is in force within 2 s.
constexpr int64_t kRevokeMs = 5000;
constexpr int kRequests = 5;

json ConfigWithKeys(int version, const std::vector<std::string>& dealer,
                    const std::vector<std::string>& club) {
  json config = SmallConfig();
  config["version"] = version;
  const auto tenant = [](const char* name,
                         const std::vector<std::string>& keys) {
    return json{{"name", name},
                {"api_keys", keys},
                {"priority", 1},
                {"rate_per_s", 100},
                {"burst", 100}};
  };
  config["tenants"] = {tenant("dealer", dealer), tenant("club", club)};
  return config;
}

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  const std::string folder = TemporaryFolder();
  const Address store_address = FreeAddress(HostOf(0));
  Store store(store_address);
  store.Put("op", "config",
            ConfigWithKeys(3, {"key-dealer-1", "key-dealer-2"}, {"key-club"}));
  const auto work = [](const Headers&) { return Work{false, 0, 20}; };
  Server first_server(store, "d-1", "parts-desk", FreeAddress(HostOf(1)), work);
  Server second_server(store, "d-2", "parts-desk", FreeAddress(HostOf(2)),
                       work);
  const auto runs_of = [&](const std::string& id) {
    std::vector<Run> runs = first_server.RunsOf(id);
    for (const Run& run : second_server.RunsOf(id)) runs.push_back(run);
    return runs;
  };
  Gateway a("edge-lj-a-1", HostOf(10), folder, store_address);
  Gateway b("edge-lj-b-1", HostOf(11), folder, store_address);
  a.SetSeeds({&a, &b});
  b.SetSeeds({&a, &b});
  const std::vector<Gateway*> gateways = {&a, &b};
  for (Gateway* gateway : gateways) gateway->Start();
  for (Gateway* gateway : gateways) {
    if (!gateway->WaitUntilReady(10000)) {
      Finish(2, "the gateways don't get ready");
    }
  }
  SleepMs(4000);

  // Sends requests with a key and returns how many ran, and whether all that
  // ran did so for `tenant`.
  int sent = 0;
  const auto send = [&](const std::string& key, const std::string& tenant,
                        bool* right_tenant) {
    int ran = 0;
    for (int i = 0; i < kRequests; ++i) {
      Request reserve;
      reserve.path = "/reserve/7";
      reserve.id = "reserve-" + std::to_string(++sent);
      reserve.key = key;
      reserve.body = "a wheelset";
      reserve.deadline_ms = 5000;
      const Gateway& gateway = *gateways[static_cast<size_t>(i) % 2];
      const Answer answer = SendNew(gateway.front(), reserve);
      const std::vector<Run> runs = runs_of(reserve.id);
      if (!runs.empty()) ++ran;
      for (const Run& run : runs) {
        if (run.tenant != tenant) *right_tenant = false;
      }
      Record(reserve.id + " with " + key + " at " + gateway.name() +
             ": status " + std::to_string(answer.status) +
             (runs.empty() ? ", not run"
                           : ", run with the Tenant '" + runs[0].tenant + "'"));
    }
    return ran;
  };

  bool right_tenant = true;
  const int before = send("key-dealer-1", "dealer", &right_tenant);
  const int forged_before = send("key-that-never-was", "", &right_tenant);
  if (before != kRequests || !right_tenant || forged_before != 0) {
    Finish(2, "keys don't hold before the disruption");
  }
  store.Put("op", "config",
            Trouble() ? ConfigWithKeys(7, {}, {})
                      : ConfigWithKeys(7, {"key-dealer-1", "key-dealer-2"},
                                       {"key-club"}));
  Record(Trouble() ? "version 7 takes all three keys away"
                   : "version 7 changes no key");
  SleepMs(kRevokeMs + 1000);

  const int after = send("key-dealer-1", "dealer", &right_tenant);
  const int forged = send("key-that-never-was", "", &right_tenant);
  if (!Trouble()) {
    if (after != kRequests || !right_tenant || forged != 0) {
      Finish(2, "keys don't hold without the disruption");
    }
    Finish(0, "requests run with a key only, for its tenant");
  }
  if (after > 0 || forged > 0) {
    Finish(1, "UNASKED: " + std::to_string(after) + " of " +
                  std::to_string(kRequests) +
                  " requests with a key that was taken away ran, and " +
                  std::to_string(forged) + " of " + std::to_string(kRequests) +
                  " with a key that no configuration ever held, for no tenant");
  }
  Finish(0, "no request runs without a key");
}
