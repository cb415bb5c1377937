#ifndef KNAPWEED_TESTS_PLATFORM_PROCESS_PROCESS_WORLD_H_
#define KNAPWEED_TESTS_PLATFORM_PROCESS_PROCESS_WORLD_H_

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "tests/platform/process/ledger.h"
#include "tests/platform/world.h"
#include "tests/process/child_process.h"

/// Gateway processes, with a fake store and fake upstreams on the test's loop.
namespace knapweed::testing {

/// Headers by which a caller tells the upstream how to respond.
inline constexpr char kPauseHeader[] = "X-Pause-Ms";
inline constexpr char kEventsHeader[] = "X-Events";
inline constexpr char kGapHeader[] = "X-Gap-Ms";
/// The stream breaks off after so many events.
inline constexpr char kBreakHeader[] = "X-Break";
/// A large response.
inline constexpr char kLargeHeader[] = "X-Large";

/// How long a turn of the route "/short/" is kept.
inline constexpr Ms kShortKeep{8000};
inline constexpr Ms kLongKeep{60000};
inline constexpr Ms kRouteTimeout{4000};

/// Random numbers of one caller or of the disruptions.
class Dice {
 public:
  explicit Dice(uint64_t seed) : random_(seed) {}
  /// Returns a number from `least` to `most`.
  int Roll(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  Ms RollMs(int least, int most) { return Ms{Roll(least, most)}; }
  bool Chance(int percent) { return Roll(1, 100) <= percent; }

 private:
  std::mt19937_64 random_;
};

struct WorldOptions {
  uint64_t seed = 1;
  size_t gateways = 3;
  /// Time between SIGTERM and SIGKILL.
  Ms grace{8000};
  /// The gateway's program.
  std::string program;
};

/// One gateway: its process and what the load balancer knows of it.
struct GatewayProcess {
  gateway::GatewayConfig config;
  std::string log_path;
  std::unique_ptr<ChildProcess> child;
  /// The process runs, as far as the test has noticed.
  bool runs = false;
  Ms started_at;
  /// The test ends it by a signal.
  bool end_intended = false;
  /// End of its last pause by SIGSTOP.
  Ms paused_until;
  /// The operator works on it.
  bool busy = false;
  int missed_checks = 0;
  bool in_rotation = false;
};

/// Starts everything; ends the processes when it is destroyed.
class ProcessWorld {
 public:
  explicit ProcessWorld(const WorldOptions& options);
  ~ProcessWorld();

  /// Starts the gateway's process for the first time, or again.
  void StartGateway(size_t index);
  /// Writes a new version of the configuration.
  void Configure();
  /// Runs the loop for `span`.
  void RunFor(Ms span);
  Ms Now() const { return clock_.Now(); }
  /// Returns a gateway that gets new connections, other than `avoided` if there
  /// is one.
  size_t PickGateway(Dice& dice, size_t avoided) const;
  /// Adds an attempt to the ledger. The reference stays valid.
  Attempt& AddAttempt(Attempt attempt);
  std::string NewId(const std::string& prefix);
  /// Returns the lines of all gateways' logs that contain `text`.
  std::string LogLines(const std::string& text) const;

  gateway::asio::io_context loop;
  FakeStore store;
  std::vector<std::unique_ptr<FakeServer>> upstreams;
  std::deque<GatewayProcess> gateways;
  Ledger ledger;
  /// Callers end after their request under way.
  bool stopping = false;
  int callers_running = 0;

 private:
  Address ReserveAddress();
  void AddUpstream(const std::string& service, int index,
                   const std::string& version);
  void AddGateway(size_t index);
  void WriteSettings(const GatewayProcess& process) const;
  Script ReceiveRequest(const FakeServer& upstream,
                        const ReceivedRequest& request);
  /// Notices ends of processes.
  gateway::Task<void> WatchProcesses();
  void NoteEnd(size_t index);
  /// Checks readiness each second, as the platform does.
  gateway::Task<void> CheckReadiness(size_t index);

  Clock clock_ = Clock::Steady();
  WorldOptions options_;
  std::string folder_ = "/tmp/knapweed-XXXXXX";
  std::deque<gateway::asio::ip::tcp::socket> reserved_;
  Address store_address_;
  uint64_t config_version_ = 0;
  uint64_t next_id_ = 0;
  std::unordered_map<std::string, Attempt*> by_id_;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_PROCESS_PROCESS_WORLD_H_
