#include <gtest/gtest.h>

#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

RawUpstream::Behaviour Answers(const std::string& headers = {}) {
  return [headers](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok", headers);
    return true;
  };
}

TEST(LeavingUpstream, GetsNothingNew) {
  RawUpstream staying(Answers());
  RawUpstream leaving(Answers());
  Entry entry;
  RoutedUpstream gone = leaving.Routed("b");
  gone.leaving = true;
  entry.Route({staying.Routed("a"), gone});

  for (int sent = 0; sent < 10; ++sent) EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(leaving.Requests(), 0);

  entry.Route({gone});
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "not_run");
  EXPECT_EQ(leaving.Requests(), 0);
}

TEST(LeavingUpstream, ItsOwnWordIsBelievedAtOnceAndForItsWholeLife) {
  RawUpstream upstream(Answers("X-Leaving: 1\r\n"));
  Entry entry;
  entry.Route({upstream.Routed("a")});

  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "not_run");

  // Neither a snapshot made before its word was heard nor a gap in the list brings it back.
  entry.Route(std::vector<RoutedUpstream>());
  entry.Route({upstream.Routed("a")});
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "not_run");
  EXPECT_EQ(upstream.Requests(), 1);
  EXPECT_TRUE(entry.Observed("a").said_leaving);

  RoutedUpstream next_life = upstream.Routed("a");
  next_life.incarnation = 2;
  entry.Route({next_life});
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
}

TEST(LeavingUpstream, EjectedIsTheLastResort) {
  RawUpstream healthy(Answers());
  RawUpstream ejected(Answers());
  Entry entry;
  RoutedUpstream out = ejected.Routed("b");
  out.ejected = true;
  entry.Route({healthy.Routed("a"), out});

  for (int sent = 0; sent < 10; ++sent) EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(ejected.Requests(), 0);

  entry.Route({out});
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(ejected.Requests(), 1);
}

TEST(LeavingUpstream, OtherDataCentreServesOnlyIfTheOwnCannot) {
  RawUpstream own(Answers());
  RawUpstream other(Answers());
  Entry entry;
  RoutedUpstream far = other.Routed("b");
  far.data_centre = DataCentreId("there");
  entry.Route({own.Routed("a"), far});

  for (int sent = 0; sent < 10; ++sent) EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(other.Requests(), 0);

  RoutedUpstream full = own.Routed("a");
  full.slot_share = 0;
  entry.Route({full, far});
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(other.Requests(), 1);
}

}  // namespace
}  // namespace currantpost
