#include "parsleylead/members/member_directory.hpp"

#include <map>
#include <utility>

#include "parsleylead/platform_log/find_offset.hpp"

namespace parsleylead {
namespace {

constexpr std::size_t records_per_read = 500;

} // namespace

member_directory::member_directory(log_service& log, member_directory_options options,
                                   member_callback on_members)
    : log_(log), options_(std::move(options)), on_members_(std::move(on_members)),
      thread_([this] { run(); }) {}

member_directory::~member_directory() {
  {
    const std::lock_guard lock(mutex_);
    stop_requested_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void member_directory::refresh() {
  {
    const std::lock_guard lock(mutex_);
    refresh_requested_ = true;
  }
  changed_.notify_all();
}

void member_directory::run() {
  std::unique_lock lock(mutex_);
  while (!stop_requested_) {
    refresh_requested_ = false;
    lock.unlock();
    const bool succeeded = read_and_append();
    lock.lock();
    // After a failure a refresh request does not end the wait: it could lead to a busy loop.
    const auto wait = succeeded ? options_.interval : options_.retry_interval;
    changed_.wait_for(lock, wait, [this, succeeded] {
      return stop_requested_ || (succeeded && refresh_requested_);
    });
  }
}

bool member_directory::read_and_append() {
  if (!read_members()) {
    return false;
  }
  const auto now = std::chrono::steady_clock::now();
  if (!options_.self || now < next_append_time_) {
    return true;
  }
  // Appending the record twice after a lost reply is harmless: the newest one counts.
  if (!log_.append(member_stream, encode_member(*options_.self)).ok()) {
    return false;
  }
  next_append_time_ = now + options_.interval;
  return true;
}

bool member_directory::read_members() {
  const auto earliest_time = wall_now() - 2 * options_.interval;
  auto offset = find_offset(log_, member_stream, earliest_time);
  if (!offset.ok()) {
    return false;
  }
  std::map<std::string, member_record> newest;
  while (true) {
    const auto batch =
        log_.read(member_stream, *offset, records_per_read, std::chrono::milliseconds(0));
    if (!batch.ok()) {
      return false;
    }
    for (const auto& record : batch->records) {
      if (const auto member = decode_member(record.payload)) {
        newest[member->name] = *member;
      }
    }
    if (batch->records.empty()) {
      break;
    }
    offset = batch->next;
  }
  std::vector<member_record> members;
  members.reserve(newest.size());
  for (auto& [name, member] : newest) {
    members.push_back(std::move(member));
  }
  on_members_(std::move(members));
  return true;
}

} // namespace parsleylead
