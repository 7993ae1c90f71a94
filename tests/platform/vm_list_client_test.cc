#include "currantpost/platform/vm_list_client.h"

#include <gtest/gtest.h>

#include <thread>

#include "standin_vm_list.h"

namespace currantpost {
namespace {

using standins::AnswerFault;
using standins::ServiceFaults;
using standins::StandinVmList;

constexpr Millis kTimeout(300);

VmRecord MakeVm(const std::string& name) {
  return VmRecord{VmId(name),
                  7,
                  DataCentreId("east"),
                  RackId("r1"),
                  VmState::kLeaving,
                  Resources{32'000, 125'000, 1},
                  Address{"127.0.0.1", 5},
                  Address{"127.0.0.1", 6}};
}

TEST(VmListClient, ReadsTheListAfterItsLag) {
  StandinVmList list(Millis(100));
  HttpVmListClient client(Address{"127.0.0.1", list.Start()}, kTimeout);
  list.SetVms({MakeVm("a")});
  EXPECT_TRUE(client.Read().value().empty());

  while (client.Read().value().empty()) std::this_thread::sleep_for(std::chrono::milliseconds(5));

  const VmRecord vm = client.Read().value().at(0);
  EXPECT_EQ(vm.vm, VmId("a"));
  EXPECT_EQ(vm.incarnation, 7U);
  EXPECT_EQ(vm.state, VmState::kLeaving);
  EXPECT_EQ(vm.capacity, (Resources{32'000, 125'000, 1}));
  EXPECT_EQ(vm.worker.port, 5);
  EXPECT_EQ(vm.upstream.port, 6);
}

TEST(VmListClient, ReportsEachKindOfFailure) {
  StandinVmList list(Millis(0));
  HttpVmListClient client(Address{"127.0.0.1", list.Start()}, kTimeout);

  list.Service().FailNext(AnswerFault::kMalformed, 1);
  EXPECT_EQ(client.Read().error().code, ErrorCode::kMalformed);

  list.Service().FailNext(AnswerFault::kSilent, 1);
  EXPECT_EQ(client.Read().error().code, ErrorCode::kTimeout);

  list.Service().SetFaults(ServiceFaults{.down = true});
  EXPECT_EQ(client.Read().error().code, ErrorCode::kUnavailable);

  list.Service().Stop();
  EXPECT_EQ(client.Read().error().code, ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace currantpost
