#include "currantpost/scheduler/outage.h"

#include "record_json.h"

namespace currantpost::scheduler {
namespace {

EntryInstance OwnerOf(const Json& json) {
  return EntryInstance{EntryId(json.at("owner").get<std::string>()),
                       json.at("life").get<std::string>()};
}

}  // namespace

std::string Encode(const OutageQuestion& question) {
  return Dump(Json{{"owner", question.owner.entry.Text()},
                   {"life", question.owner.incarnation},
                   {"witness_life", question.witness_incarnation},
                   {"at", question.asked_at.Count()},
                   {"peer", AddressJson(question.reply_to)}});
}

Result<OutageQuestion> DecodeOutageQuestion(std::string_view value) {
  return Decode<OutageQuestion>(value, "question about an outage", [](const Json& json) {
    return OutageQuestion{.owner = OwnerOf(json),
                          .witness_incarnation = json.at("witness_life").get<std::string>(),
                          .asked_at = Millis(json.at("at").get<int64_t>()),
                          .reply_to = AddressOf(json.at("peer"))};
  });
}

std::string Encode(const OutageConfirmation& confirmation) {
  return Dump(Json{{"owner", confirmation.owner.entry.Text()},
                   {"life", confirmation.owner.incarnation},
                   {"witness_life", confirmation.witness_incarnation},
                   {"at", confirmation.asked_at.Count()}});
}

Result<OutageConfirmation> DecodeOutageConfirmation(std::string_view value) {
  return Decode<OutageConfirmation>(value, "confirmation of an outage", [](const Json& json) {
    return OutageConfirmation{.owner = OwnerOf(json),
                              .witness_incarnation = json.at("witness_life").get<std::string>(),
                              .asked_at = Millis(json.at("at").get<int64_t>())};
  });
}

std::string Encode(const DenialQuestion& question) {
  return Dump(Json{{"owner", question.former_owner.entry.Text()},
                   {"life", question.former_owner.incarnation},
                   {"grant", question.former_grant},
                   {"witness_life", question.witness_incarnation},
                   {"peer", AddressJson(question.reply_to)}});
}

Result<DenialQuestion> DecodeDenialQuestion(std::string_view value) {
  return Decode<DenialQuestion>(value, "question to a witness", [](const Json& json) {
    return DenialQuestion{.former_owner = OwnerOf(json),
                          .former_grant = json.at("grant").get<KvRevision>(),
                          .witness_incarnation = json.at("witness_life").get<std::string>(),
                          .reply_to = AddressOf(json.at("peer"))};
  });
}

std::string Encode(const Denial& denial) { return Dump(Json{{"grant", denial.former_grant}}); }

Result<Denial> DecodeDenial(std::string_view value) {
  return Decode<Denial>(value, "denial of an outage", [](const Json& json) {
    return Denial{.former_grant = json.at("grant").get<KvRevision>()};
  });
}

}  // namespace currantpost::scheduler
