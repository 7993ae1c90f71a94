#include "entry.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace currantpost {

ClaimOutcome FakeClaimStore::Claim(const std::string& route, const std::string& key) {
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_));

  const std::lock_guard lock(mutex_);
  if (failure_ != ClaimOutcome::kClaimed) return failure_;

  return held_.emplace(route, key).second ? ClaimOutcome::kClaimed : ClaimOutcome::kAlreadyClaimed;
}

bool FakeClaimStore::Release(const std::string& route, const std::string& key) {
  const std::lock_guard lock(mutex_);
  return held_.erase({route, key}) == 1;
}

size_t FakeClaimStore::Held() const {
  const std::lock_guard lock(mutex_);
  return held_.size();
}

TrafficSettings Entry::Settings() {
  return {.listen = {.host = "127.0.0.1", .port = 0}, .threads = 32};
}

Entry::Entry(TrafficSettings settings)
    : server_(std::make_unique<TrafficServer>(std::move(settings), clock_, claims_, 7)),
      port_(server_->Start().value()) {}

void Entry::Route(std::vector<RoutedUpstream> upstreams, Millis timeout) {
  RoutingSnapshot snapshot;
  snapshot.own_data_centre = DataCentreId("here");
  snapshot.preset.routes = {RouteRule{.prefix = "/", .timeout = timeout}};
  snapshot.upstreams = std::move(upstreams);
  Route(std::move(snapshot));
}

void Entry::Route(RoutingSnapshot snapshot) {
  server_->Publish(std::make_shared<const RoutingSnapshot>(std::move(snapshot)));
}

httplib::Result Entry::Send(const std::string& method, const std::string& target,
                            const httplib::Headers& headers, const std::string& body) const {
  httplib::Client client("127.0.0.1", port_);
  client.set_url_encode(false);
  client.set_decompress(false);
  client.set_read_timeout(20);

  httplib::Request request;
  request.method = method;
  request.path = target;
  request.headers = headers;
  request.body = body;
  return client.send(request);
}

std::string Entry::SendRaw(const std::string& text) const {
  const int socket = Connect();
  std::array<char, 4'096> buffer;
  std::string received;
  send(socket, text.data(), text.size(), MSG_NOSIGNAL);

  while (true) {
    const ssize_t got = recv(socket, buffer.data(), buffer.size(), 0);
    if (got <= 0) break;
    received.append(buffer.data(), static_cast<size_t>(got));
  }

  close(socket);
  return received;
}

int Entry::Connect() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port_));

  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));  // NOLINT
  return socket;
}

UpstreamObservation Entry::Observed(const std::string& name) {
  for (const UpstreamObservation& observation : server_->TakeReport().upstreams) {
    if (observation.vm.Text() == name) return observation;
  }

  return {};
}

std::string OutcomeOf(const httplib::Result& result) {
  return result ? result->get_header_value("X-Currantpost-Outcome") : "no answer";
}

std::string ErrorOf(const httplib::Result& result) {
  if (!result) return "no answer";

  const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
  return body.is_object() ? body.value("error", "") : "no typed body";
}

}  // namespace currantpost
