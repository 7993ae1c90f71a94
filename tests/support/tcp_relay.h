#pragma once

#include <atomic>
#include <list>
#include <thread>

namespace currantpost {

/// Passes connections on to a port of this machine, until they are told to go silent.
///
/// A silent connection stays open at both ends and carries nothing any more; connections made
/// later work again.
class TcpRelay {
 public:
  explicit TcpRelay(int target_port);
  ~TcpRelay();

  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// Returns the port that the relay listens on.
  [[nodiscard]] int Port() const { return port_; }

  /// Makes all present connections silent, for good.
  void SilencePresent();

  /// Makes present and later connections silent, or lets those made from now on work.
  void SetSilent(bool silent);

 private:
  struct Connection {
    int client = -1;
    int target = -1;
    std::atomic<bool> silent = false;
    std::thread thread;
  };

  void Accept();
  void Pass(Connection& connection) const;

  const int target_port_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> silence_requested_ = false;
  std::atomic<bool> silent_ = false;
  std::list<Connection> connections_;
  std::thread thread_;
};

}  // namespace currantpost
