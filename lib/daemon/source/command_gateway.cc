#include "currantpost/daemon/command_gateway.h"

#include <absl/time/time.h>

#include <utility>

namespace currantpost {
namespace {

/// Commands that may wait at a time, so that some of the operator server's threads stay free.
constexpr size_t kMostWaiting = 12;

CommandReply Failed(RequestId command, ErrorCode code) {
  return CommandReply{.command = command, .error = MakeError(code, "command")};
}

}  // namespace

CommandGateway::CommandGateway(const EntryIdentity& identity, EventQueue& events)
    : change_id_prefix_(identity.entry.Text() + "." + std::to_string(identity.incarnation) + ".c"),
      events_(events) {}

CommandReply CommandGateway::Ask(Command command, Millis longest_wait) {
  Waiter waiter;
  const RequestId number = Register(waiter);
  if (number == 0) return Failed(number, ErrorCode::kOverloaded);

  const bool taken = events_.Push(CommandReceived{
      .command = number,
      .change_id = change_id_prefix_ + std::to_string(number),
      .body = std::move(command),
  });

  absl::MutexLock lock(&mutex_);

  if (taken) {
    const auto has_reply = [](Waiter* waiting) { return waiting->reply.has_value(); };
    mutex_.AwaitWithTimeout(absl::Condition(+has_reply, &waiter),
                            absl::Milliseconds(longest_wait.Count()));
  }

  waiters_.erase(number);

  if (!taken) return Failed(number, ErrorCode::kOverloaded);
  if (!waiter.reply) return Failed(number, ErrorCode::kOutcomeUnknown);

  return *std::move(waiter.reply);
}

void CommandGateway::Complete(const CommandReply& reply) {
  absl::MutexLock lock(&mutex_);
  const auto found = waiters_.find(reply.command);
  if (found == waiters_.end()) return;

  found->second->reply = reply;
}

RequestId CommandGateway::Register(Waiter& waiter) {
  absl::MutexLock lock(&mutex_);
  if (waiters_.size() >= kMostWaiting) return 0;

  const RequestId number = next_command_++;
  waiters_[number] = &waiter;

  return number;
}

}  // namespace currantpost
