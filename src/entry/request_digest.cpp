#include "parsleylead/entry/request_digest.hpp"

#include <xxhash.h>

#include <memory>

namespace parsleylead {
namespace {

struct state_deleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes the length as well, so that "ab","c" and "a","bc" have different digests.
void add_text(XXH3_state_t* state, std::string_view text) {
  const std::uint64_t length = text.size();
  XXH3_64bits_update(state, &length, sizeof(length));
  XXH3_64bits_update(state, text.data(), text.size());
}

} // namespace

std::uint64_t request_digest(std::string_view kind, std::span<const std::string> payloads) {
  const std::unique_ptr<XXH3_state_t, state_deleter> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  add_text(state.get(), kind);
  for (const auto& payload : payloads) {
    add_text(state.get(), payload);
  }
  return XXH3_64bits_digest(state.get());
}

} // namespace parsleylead
