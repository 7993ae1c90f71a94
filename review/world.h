#pragma once

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"
#include "worker.h"

namespace currantpost::review {

/// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

int64_t UnixMillis();

/// Returns whether the case runs with its disruption: the variable TROUBLE is not 0.
bool WithTrouble();

/// A port that is free now.
int FreePort();

/// An entry process and how to reach it.
struct EntryProcess {
  std::string name;
  std::string zone;
  int front_port = 0;
  int ready_port = 0;
  int peer_port = 0;
  int store_port = 0;
  std::string cpu_share;
  pid_t pid = 0;
  std::string settings_path;
  std::string log_path;
};

struct WorkerProcess {
  WorkerOptions options;
  pid_t pid = 0;
};

/// A run of a task, as its worker wrote it.
struct TaskRun {
  std::string worker;
  std::string kind;
  std::string task;
  int64_t run = 0;
  std::string spec;
  int64_t began_unix_ms = 0;
  /// 0 while it goes on.
  int64_t ended_unix_ms = 0;
  /// How it ended; "crashed" if the worker's life ended first.
  std::string how;

  /// The id of its job.
  std::string Job() const { return task.substr(0, task.find('.')); }
  bool OverlapsWith(int64_t from_unix_ms, int64_t to_unix_ms) const {
    return began_unix_ms <= to_unix_ms && (ended_unix_ms == 0 || ended_unix_ms >= from_unix_ms);
  }
};

/// A small deployment on the loopback address: the store, workers and entries as processes, all of
/// which are killed on destruction. Works in a temporary folder that it removes.
class World {
 public:
  /// `record_path` is the file to which all that was sent, answered and run is written.
  explicit World(const std::string& record_path);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Runs the event loop for a time.
  void RunFor(Millis time);

  /// Writes a line with the time to the record.
  void Record(const std::string& line);

  /// Starts a process and returns its id, or -1.
  pid_t Spawn(const std::vector<std::string>& words, const std::string& output_path,
              const std::string& settings_path = {});
  /// Sends a signal to a process that `Spawn` started. SIGKILL also waits for its end.
  void Signal(pid_t pid, int signal);
  /// Returns whether a process that `Spawn` started has ended.
  bool HasEnded(pid_t pid);

  void StartStore();
  void StartWorker(WorkerProcess& worker);
  /// Chooses the ports of an entry and writes its settings file. `store_port` 0 is the store's own.
  EntryProcess MakeEntry(const std::string& name, const std::string& zone, int store_port = 0,
                         const std::string& cpu_share = "1.0");
  void StartEntry(EntryProcess& entry);

  /// Writes a key as the operator, and calls `done` with the status.
  void OperatorPut(const std::string& key, const std::string& value, std::function<void(int)> done);
  /// Sends a client's call to an entry. The status is 0 if there was no answer.
  void Call(const EntryProcess& entry, const std::string& method, const std::string& path,
            const std::string& body, std::function<void(int, std::string)> done);

  /// Returns the runs that the workers have written so far, and copies their lines to the record.
  std::vector<TaskRun> CollectRuns();

  EventLoop& loop() { return loop_; }
  const Clock& clock() const { return clock_; }
  int store_port() const { return store_port_; }

 private:
  EventLoop loop_;
  MonotonicClock clock_;
  HttpClient http_;
  std::string folder_;
  std::ofstream record_;
  int64_t began_unix_ms_ = 0;
  int store_port_ = 0;
  std::vector<pid_t> pids_;
  std::vector<std::string> worker_logs_;
};

/// A job with one step for each of `counts`, side by side or one after the other. Each task works
/// for `work_ms`.
std::string JobBody(const std::vector<int>& counts, int64_t work_ms, int64_t millicores,
                    const std::string& label, const std::string& note, bool in_sequence = false);

/// A configuration with queues, each under the path "/NAME/". A queue is "NAME" for the service
/// "svc", or "NAME:SERVICE".
std::string ConfigBody(int version, const std::vector<std::string>& queues, bool guards);

/// A job id: 16 hexadecimal digits.
std::string JobIdOf(uint64_t number);

}  // namespace currantpost::review
