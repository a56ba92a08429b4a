// Two operators change the same kind concurrently: every replica accepts the change that comes
// first in the log and rejects the other as a conflict. Uses an in-memory log and starts no
// process.

#include <cstdio>

#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

using namespace parsleylead;

namespace {

catalogue_change change_queue_limit(const char* operator_name, std::uint32_t queue) {
  kind_definition kind;
  kind.owner = "order-desk";
  kind.idempotent = true;
  kind.limits = {64, queue, 500, 370, std::chrono::seconds(10)};
  catalogue_change change;
  change.id = uuid::make_v7(wall_now());
  change.operator_name = operator_name;
  change.base_revision = 0; // neither operator has seen a definition of the kind
  change.subject = {subject_type::kind, "quote"};
  change.value = kind;
  return change;
}

} // namespace

int main() {
  memory_log_service log;
  for (const auto& change : {change_queue_limit("alice", 100), change_queue_limit("bob", 200)}) {
    if (!log.append("catalogue", encode_change(change)).ok()) {
      return 1;
    }
  }
  const auto read = log.read("catalogue", 1, 10, std::chrono::milliseconds(0));
  if (!read.ok()) {
    return 1;
  }
  catalogue_replica replica;
  for (const auto& applied : replica.apply(read->records)) {
    std::printf("offset %llu, %s: %s\n", static_cast<unsigned long long>(applied.offset),
                applied.operator_name.c_str(), std::string(to_string(applied.result)).c_str());
  }
  std::printf("queue limit in force: %u\n", replica.find_kind("quote")->limits.queue);
  return 0;
}
