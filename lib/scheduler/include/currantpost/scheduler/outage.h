#pragma once

#include <map>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/base/ids.h"
#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "currantpost/scheduler/records.h"

/// Messages about outages of the store between the owner of a cell, its witnesses and the next
/// owner. They are pushed to the peer and never stored.
///
/// Without the store an owner renews the leases of its workers for long only while all its
/// witnesses confirm that they miss the store too. A witness that has confirmed nothing to an
/// owner, and will not, proves to the next owner that the leases end soon.

namespace currantpost::scheduler {

/// Key prefixes of the messages: the first two are followed by the witness, the others by the cell.
/// @{
inline constexpr std::string_view kOutageQuestionPrefix = "outage-question/";
inline constexpr std::string_view kOutageConfirmationPrefix = "outage-confirmation/";
inline constexpr std::string_view kDenialQuestionPrefix = "denial-question/";
inline constexpr std::string_view kDenialPrefix = "denial/";
/// @}

/// Asks a witness whether it misses the store.
struct OutageQuestion {
  EntryInstance owner;
  std::string witness_incarnation;
  /// When it was asked, by the owner's clock.
  Millis asked_at;
  Address reply_to;
};

/// The witness misses the store. Repeats the members of the question.
struct OutageConfirmation {
  EntryInstance owner;
  std::string witness_incarnation;
  Millis asked_at;
};

/// Asks a witness of a former owner for a denial.
struct DenialQuestion {
  EntryInstance former_owner;
  KvRevision former_grant = 0;
  std::string witness_incarnation;
  Address reply_to;
};

/// A witness has confirmed no outage to the former owner lately, and will not.
struct Denial {
  KvRevision former_grant = 0;
};

std::string Encode(const OutageQuestion& question);
std::string Encode(const OutageConfirmation& confirmation);
std::string Encode(const DenialQuestion& question);
std::string Encode(const Denial& denial);

/// Each fails with `kMalformed` if the value is not a message of that type.
/// @{
Result<OutageQuestion> DecodeOutageQuestion(std::string_view value);
Result<OutageConfirmation> DecodeOutageConfirmation(std::string_view value);
Result<DenialQuestion> DecodeDenialQuestion(std::string_view value);
Result<Denial> DecodeDenial(std::string_view value);
/// @}

/// What this entry knows about outages of the store.
struct OutageState {
  /// The entries that this one names as its witnesses, and when to choose them anew.
  std::map<EntryInstance, Address> witnesses;
  Millis choose_at;
  /// When to ask the witnesses next.
  Millis next_question;
  /// When the last question was asked that each witness confirmed.
  std::map<EntryInstance, Millis> confirmed_at;
  /// Entries to which this one has confirmed an outage, and when it last did.
  std::map<EntryInstance, Millis> last_confirmation;
  /// Entries to which this one confirms no outage, and until when.
  std::map<EntryInstance, Millis> denied_until;
};

}  // namespace currantpost::scheduler
