#include "parsleylead/claim/claim_rules.hpp"

namespace parsleylead {

key_validity claim_rules::validate(const uuid& key, wall_time append_time) const {
  const auto created = key.created();
  if (!created) {
    return key_validity::not_v7;
  }
  if (append_time - *created > key_lifetime) {
    return key_validity::expired;
  }
  if (*created - append_time > clock_skew) {
    return key_validity::too_far_ahead;
  }
  return key_validity::valid;
}

} // namespace parsleylead
