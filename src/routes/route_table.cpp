#include "parsleylead/routes/route_table.hpp"

#include <algorithm>

namespace parsleylead {

route_table::route_table(std::int64_t version, std::vector<route> routes)
    : version_(version), routes_(std::move(routes)) {
  std::sort(routes_.begin(), routes_.end(), [](const route& a, const route& b) {
    if (a.host != b.host) {
      return a.host < b.host;
    }
    return a.path_prefix.size() > b.path_prefix.size();
  });
}

const route* route_table::find(std::string_view host, std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const auto first = std::lower_bound(
      routes_.begin(), routes_.end(), host,
      [](const route& each, std::string_view wanted) { return each.host < wanted; });
  for (auto at = first; at != routes_.end() && at->host == host; ++at) {
    if (path.starts_with(at->path_prefix)) {
      return &*at;
    }
  }
  return nullptr;
}

} // namespace parsleylead
