#include "feature.h"

namespace currantpost {
namespace {

void Handle(State& /*state*/, const Event& /*event*/, Effects& /*effects*/) {}

nlohmann::json Dump(const State& /*state*/) { return nlohmann::json::object(); }

}  // namespace

const Feature kWorkFeature = {.name = "work", .handle = Handle, .dump = Dump};

}  // namespace currantpost
