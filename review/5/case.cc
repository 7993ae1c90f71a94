#include <utility>
// Asio needs <utility> before it.
#include <boost/asio.hpp>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "world.h"

/// Connections go silent, and the configuration changes: do the entries serve the new queue in
/// time?

namespace {

namespace asio = boost::asio;

using currantpost::Millis;
using currantpost::review::EntryProcess;
using currantpost::review::kCouldNotRun;
using currantpost::review::kRuleBroken;
using currantpost::review::kRuleHeld;
using currantpost::review::WorkerProcess;
using currantpost::review::World;

constexpr int kEntries = 9;
/// An entry watches the configuration in cycles of two seconds. Each round begins at another phase
/// of these.
constexpr int kRounds = 8;
constexpr Millis kRoundTime = Millis(9'700);
/// `contact_ms`, `config_apply_ms`, and a margin for the time that a call takes.
constexpr Millis kContact = Millis(3'000);
constexpr Millis kConfigApply = Millis(2'000);
constexpr Millis kMargin = Millis(50);
constexpr Millis kAskInterval = Millis(50);
constexpr Millis kAskUntil = Millis(6'000);

const char* const kZones[] = {"kyushu-a", "kyushu-b", "kyushu-c"};

/// Passes bytes between the entries and the store, on a thread of its own.
/// `Silence` makes all connections that are open pass nothing more, without closing them.
class Proxy {
 public:
  Proxy(int port, int target)
      : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                                    static_cast<uint16_t>(port))),
        target_(asio::ip::address_v4::loopback(), static_cast<uint16_t>(target)) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Proxy() {
    context_.stop();
    thread_.join();
  }

  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void Silence() {
    asio::post(context_, [this] { ++silenced_up_to_; });
  }

 private:
  struct Pair {
    explicit Pair(asio::io_context& context) : near(context), far(context) {}

    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
    std::vector<char> from_near = std::vector<char>(65'536);
    std::vector<char> from_far = std::vector<char>(65'536);
    int opened_in = 0;
  };

  void Accept() {
    auto pair = std::make_shared<Pair>(context_);
    acceptor_.async_accept(pair->near, [this, pair](boost::system::error_code error) {
      if (!error) {
        pair->opened_in = silenced_up_to_;
        pair->far.async_connect(target_, [this, pair](boost::system::error_code failure) {
          if (failure) return;
          Pump(pair, pair->near, pair->far, pair->from_near);
          Pump(pair, pair->far, pair->near, pair->from_far);
        });
      }
      Accept();
    });
  }

  void Pump(const std::shared_ptr<Pair>& pair, asio::ip::tcp::socket& from,
            asio::ip::tcp::socket& to, std::vector<char>& buffer) {
    from.async_read_some(asio::buffer(buffer), [this, pair, &from, &to, &buffer](
                                                   boost::system::error_code error, size_t size) {
      // A silent connection stays open on both sides and passes nothing, not even its end.
      if (pair->opened_in < silenced_up_to_) {
        if (!error) silent_.push_back(pair);
        return;
      }

      if (error) {
        boost::system::error_code ignored;
        to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
      }

      asio::async_write(
          to, asio::buffer(buffer.data(), size),
          [this, pair, &from, &to, &buffer](boost::system::error_code failure, size_t) {
            if (!failure) Pump(pair, from, to, buffer);
          });
    });
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  std::thread thread_;
  int silenced_up_to_ = 0;
  std::vector<std::shared_ptr<Pair>> silent_;
};

/// Results of one round.
struct Round {
  Millis silent_at;
  Millis acknowledged_at;
  std::string queue;
  int asked = 0;
  int refused = 0;
};

/// Asks an entry for the count of the new queue again and again while it has to know that queue.
void Ask(World& world, const EntryProcess& entry, Round& round) {
  const Millis now = world.clock().Now();
  if (now > round.silent_at + kAskUntil) return;

  const bool in_touch = now >= round.silent_at + kContact + kMargin;
  const bool due =
      round.acknowledged_at > Millis(0) && now >= round.acknowledged_at + kConfigApply + kMargin;

  if (in_touch && due) {
    ++round.asked;
    const int64_t since = (now - round.silent_at).Count();
    const int64_t since_change = (now - round.acknowledged_at).Count();
    world.Call(entry, "GET", "/" + round.queue + "/", "",
               [&world, &entry, &round, since, since_change](int status, const std::string& body) {
                 std::ostringstream line;
                 line << "GET /" << round.queue << "/ at " << entry.name << ", " << since
                      << " ms after the silence and " << since_change
                      << " ms after the acknowledgement -> " << status << " " << body;
                 world.Record(line.str());
                 if (status == 404) ++round.refused;
               });
  }

  world.loop().After(kAskInterval, [&world, &entry, &round] { Ask(world, entry, round); });
}

int Run(const std::string& record_path) {
  World world(record_path);
  world.StartStore();
  world.RunFor(Millis(300));
  std::vector<std::string> queues = {"first"};
  int status = 0;
  world.OperatorPut("op/config", currantpost::review::ConfigBody(1, queues, true),
                    [&](int answer) { status = answer; });
  world.RunFor(Millis(300));
  if (status != 200) return kCouldNotRun;

  std::vector<WorkerProcess> workers(3);

  for (size_t number = 0; number < workers.size(); ++number) {
    workers[number].options.id = "w" + std::to_string(number);
    workers[number].options.zone = kZones[number];
    workers[number].options.kind = "a";
    workers[number].options.rack = std::string(kZones[number]) + "-r0";
    world.StartWorker(workers[number]);
  }

  const int proxy_port = currantpost::review::FreePort();
  Proxy proxy(proxy_port, world.store_port());
  std::vector<EntryProcess> entries;
  for (int number = 0; number < kEntries; ++number) {
    entries.push_back(
        world.MakeEntry("entry-" + std::to_string(number), kZones[number % 3], proxy_port));
  }
  for (EntryProcess& entry : entries) world.StartEntry(entry);
  world.RunFor(Millis(10'000));

  const bool trouble = currantpost::review::WithTrouble();
  std::vector<Round> rounds(kRounds);
  int asked = 0;
  int refused = 0;

  for (int number = 0; number < kRounds; ++number) {
    Round& round = rounds[static_cast<size_t>(number)];
    round.queue = "added" + std::to_string(number);
    queues.push_back(round.queue);
    round.silent_at = world.clock().Now();
    if (trouble) proxy.Silence();
    world.Record(trouble ? "all open connections to the store go silent" : "no disruption");
    world.RunFor(Millis(300));
    world.OperatorPut(
        "op/config", currantpost::review::ConfigBody(number + 2, queues, true), [&](int answer) {
          world.Record("configuration with /" + round.queue + "/ -> " + std::to_string(answer));
          if (answer == 200) round.acknowledged_at = world.clock().Now();
        });
    for (const EntryProcess& entry : entries) Ask(world, entry, round);
    world.RunFor(kRoundTime);
    asked += round.asked;
    refused += round.refused;
    std::cout << "round " << number << ": asked " << round.asked << ", refused with 404 "
              << round.refused << std::endl;
    if (refused > 0) break;
  }

  world.Record("asked " + std::to_string(asked) + ", refused with 404 " + std::to_string(refused));
  if (asked == 0) return kCouldNotRun;

  return refused > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc > 1 ? argv[1] : "record.txt");
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << std::endl;
    return kCouldNotRun;
  }
}
