#include "parsleylead/routes/route_table.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

route_table::route_table(std::int64_t version, std::vector<route> routes,
                         std::vector<route_defect> defects)
    : version_(version), routes_(std::move(routes)), defects_(std::move(defects)) {
  // Of two routes that match the same requests, the one that takes jobs comes first.
  std::sort(routes_.begin(), routes_.end(), [](const route& a, const route& b) {
    if (a.host != b.host) {
      return a.host < b.host;
    }
    if (a.path_prefix.size() != b.path_prefix.size()) {
      return a.path_prefix.size() > b.path_prefix.size();
    }
    return a.defect.empty() && !b.defect.empty();
  });
}

const route* route_table::find(std::string_view host, std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const auto first = std::lower_bound(routes_.begin(), routes_.end(), host,
                                      [](const route& candidate, std::string_view requested_host) {
                                        return candidate.host < requested_host;
                                      });
  for (auto position = first; position != routes_.end() && position->host == host; ++position) {
    if (path.starts_with(position->path_prefix)) {
      return &*position;
    }
  }
  return nullptr;
}

} // namespace parsleylead
