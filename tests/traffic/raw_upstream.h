#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/model/routing.h"

namespace currantpost {

/// One request as it came over the wire.
struct RawRequest {
  /// Position among all requests of the upstream, from 0.
  int index = 0;
  std::string head;
  std::string body;

  /// Returns the value of a header, or an empty text.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// One connection of a `RawUpstream`.
class RawConnection {
 public:
  explicit RawConnection(int socket) : socket_(socket) {}

  /// Reads one request. False at the end of the connection.
  bool Read(RawRequest& request);

  void Write(const std::string& text) const;

  /// Answers with 200, the echoed request id, and a body.
  void Answer(const RawRequest& request, const std::string& body,
              const std::string& headers = {}) const;

  /// Ends the connection so that the other side sees a reset.
  void Reset();

  /// Waits until the other side ends the connection.
  void AwaitEnd() const;

 private:
  int socket_;
  std::string unread_;
};

/// A server on a plain socket that does what a test tells it to. Counts what reached it.
class RawUpstream {
 public:
  /// Serves one request; false ends the connection.
  using Behaviour = std::function<bool(RawConnection&, const RawRequest&)>;

  explicit RawUpstream(Behaviour behaviour);
  ~RawUpstream();

  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  /// Returns how many requests came whole.
  [[nodiscard]] int Requests() const { return requests_; }

  /// Returns how many connections were made.
  [[nodiscard]] int Connections() const { return connections_; }

  /// Returns the most connections that were open together.
  [[nodiscard]] int MostOpen() const { return most_open_; }

  /// Describes this upstream for a snapshot.
  [[nodiscard]] RoutedUpstream Routed(const std::string& name) const;

 private:
  void Accept();
  void Serve(int socket);

  Behaviour behaviour_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> open_ = 0;
  std::atomic<int> most_open_ = 0;
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Returns a port of 127.0.0.1 that nobody listens on.
int ClosedPort();

}  // namespace currantpost
