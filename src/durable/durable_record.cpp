#include "parsleylead/durable/durable_record.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

#include "../base/json_number.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char submission_prefix = 'j';
constexpr char progress_prefix = 'p';
constexpr std::size_t id_digits = 16;
constexpr std::size_t lost_attempt_column = 5;
constexpr std::size_t crashes_column = 6;
constexpr std::size_t failed_attempts_column = 7;
constexpr std::size_t crashed_attempts_column = 8;
// Limits of what a record may hold; submissions are limited to less.
constexpr std::uint64_t max_tasks = 100'000;
constexpr double max_stretch = 1e12;
// Each claim raises the epoch by one, so that this one is never reached.
constexpr std::uint64_t max_epoch = std::uint64_t{1} << 48U;
// More than the attempts of any task; keeps a malformed count from taking up the memory.
constexpr std::uint32_t max_assumed_attempts = 10'000;

absl::Status malformed(const std::exception& error) {
  return absl::InvalidArgumentError(std::string("malformed record: ") + error.what());
}

/// Thrown within this file only; returned as kInvalidArgument.
struct record_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <class Integer>
Integer integer(const json& value) {
  const auto number = read_integer<Integer>(value);
  if (!number) {
    throw record_error("not an integer in range");
  }
  return *number;
}

template <class Integer>
Integer integer_at(const json& object, const char* name) {
  const auto number = read_integer<Integer>(object.at(name));
  if (!number) {
    throw record_error(std::string(name) + " is not an integer in range");
  }
  return *number;
}

/// Reads a time. A job is not lost because a process of another version allows longer ones.
milliseconds milliseconds_at(const json& object, const char* name) {
  const auto count = integer_at<std::int64_t>(object, name);
  if (count < 0) {
    throw record_error(std::string(name) + " is negative");
  }
  return std::min(milliseconds(count), longest_duration);
}

/// Reads a list of attempts, which a foreign writer may have left unsorted.
std::vector<std::uint32_t> read_attempts(const json& in) {
  std::vector<std::uint32_t> attempts;
  for (const auto& attempt : in) {
    add_attempt(attempts, integer<std::uint32_t>(attempt));
  }
  return attempts;
}

/// Earlier versions stored only the number of failed runs and that of crashes. The latest attempts
/// stand for them: most runs of such a task have no other ends between them.
std::vector<std::uint32_t> assumed_attempts(std::uint32_t count, std::uint32_t latest) {
  std::vector<std::uint32_t> attempts(std::min({count, latest, max_assumed_attempts}));
  std::iota(attempts.begin(), attempts.end(),
            latest - static_cast<std::uint32_t>(attempts.size()) + 1);
  return attempts;
}

json write_step(const job_step& step) {
  return {{"count", step.count},
          {"cpu_millis", step.needs.cpu_millis},
          {"memory_mb", step.needs.memory_mb},
          {"gpus", step.needs.gpus},
          {"estimate_ms", step.estimate.count()},
          {"after", step.depends_on},
          {"required_label", step.required_label},
          {"preferred_rack", step.preferred_rack},
          {"max_per_worker", step.max_per_worker}};
}

job_step read_step(const json& in) {
  job_step step;
  step.count = integer_at<std::uint32_t>(in, "count");
  step.needs = {integer_at<std::uint32_t>(in, "cpu_millis"),
                integer_at<std::uint32_t>(in, "memory_mb"), integer_at<std::uint32_t>(in, "gpus")};
  step.estimate = milliseconds_at(in, "estimate_ms");
  for (const auto& earlier : in.at("after")) {
    step.depends_on.push_back(integer<std::uint32_t>(earlier));
  }
  step.required_label = in.at("required_label").get<std::string>();
  step.preferred_rack = in.at("preferred_rack").get<std::string>();
  step.max_per_worker = integer_at<std::uint32_t>(in, "max_per_worker");
  return step;
}

std::optional<job_verdict> verdict_named(const std::string& name) {
  for (const auto verdict : {job_verdict::completed, job_verdict::failed, job_verdict::cancelled}) {
    if (name == to_string(verdict)) {
      return verdict;
    }
  }
  return std::nullopt;
}

/// Reads the row of one task. Throws if it cannot be read, and changes nothing then.
void read_progress_row(const json& row, durable_record& record) {
  auto& task =
      record.progress.at(integer<std::size_t>(row.at(0))).at(integer<std::size_t>(row.at(1)));
  const auto optional_column = [&row](std::size_t column) {
    return row.size() > column ? integer<std::uint32_t>(row.at(column)) : 0;
  };
  const auto attempts = [&row](std::size_t column, std::uint32_t count, std::uint32_t latest) {
    return row.size() > column ? read_attempts(row.at(column)) : assumed_attempts(count, latest);
  };
  const auto ended_attempt = integer<std::uint32_t>(row.at(4));
  const auto lost_attempt = optional_column(lost_attempt_column);
  task = {row.at(2).get<bool>(),
          attempts(failed_attempts_column, integer<std::uint32_t>(row.at(3)), ended_attempt),
          ended_attempt, lost_attempt,
          attempts(crashed_attempts_column, optional_column(crashes_column), lost_attempt)};
}

} // namespace

std::string submission_key(std::uint64_t job) {
  return submission_prefix + format_job(job);
}

std::string progress_key(std::uint64_t job) {
  return progress_prefix + format_job(job);
}

std::optional<durable_key> parse_durable_key(const std::string& key) {
  if (key.size() != id_digits + 1 || (key[0] != submission_prefix && key[0] != progress_prefix)) {
    return std::nullopt;
  }
  durable_key parsed;
  parsed.is_progress = key[0] == progress_prefix;
  const auto* const end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + 1, end, parsed.job, 16);
  return error == std::errc() && stop == end ? std::optional(parsed) : std::nullopt;
}

std::string write_submission(const durable_record& record) {
  if (record.ended) {
    json attempts = json::array();
    json failed = json::array();
    for (std::size_t step = 0; step < record.progress.size(); ++step) {
      json row = json::array();
      for (std::size_t index = 0; index < record.progress[step].size(); ++index) {
        const auto& task = record.progress[step][index];
        row.push_back(task.ended_attempt);
        if (!task.failed_attempts.empty()) {
          failed.push_back({step, index, task.failed_attempts});
        }
      }
      attempts.push_back(std::move(row));
    }
    json result{{"ended", to_string(*record.ended)}, {"attempts", std::move(attempts)}};
    if (!failed.empty()) {
      result["failed"] = std::move(failed);
    }
    return result.dump();
  }
  const auto& terms = record.job.terms;
  json steps = json::array();
  for (const auto& step : record.job.steps) {
    steps.push_back(write_step(step));
  }
  return json{{"queue", terms.queue},
              {"service", terms.service},
              {"target_ms", terms.target.count()},
              {"stretch", terms.stretch},
              {"max_attempts", terms.max_attempts},
              {"priority", terms.priority},
              {"payload", record.job.payload},
              {"steps", std::move(steps)},
              {"first_epoch", record.first_epoch}}
      .dump();
}

absl::StatusOr<durable_record> parse_durable_submission(std::uint64_t job,
                                                        const std::string& text) {
  try {
    const auto root = json::parse(text);
    durable_record record;
    record.job.id = job;
    if (root.contains("ended")) {
      record.ended = verdict_named(root.at("ended").get<std::string>());
      if (!record.ended) {
        return absl::InvalidArgumentError("malformed record: ended with an unknown verdict");
      }
      for (const auto& row : root.at("attempts")) {
        auto& step = record.progress.emplace_back();
        for (const auto& attempt : row) {
          step.push_back({true, {}, integer<std::uint32_t>(attempt), 0, {}});
        }
      }
      for (const auto& row : root.value("failed", json::array())) {
        record.progress.at(integer<std::size_t>(row.at(0)))
            .at(integer<std::size_t>(row.at(1)))
            .failed_attempts = read_attempts(row.at(2));
      }
      return record;
    }
    record.job.terms = {root.at("queue").get<std::string>(),
                        root.at("service").get<std::string>(),
                        milliseconds_at(root, "target_ms"),
                        std::clamp(root.at("stretch").get<double>(), 1.0, max_stretch),
                        integer_at<std::uint32_t>(root, "max_attempts"),
                        integer_at<std::uint32_t>(root, "priority")};
    record.job.payload = root.at("payload").get<std::string>();
    record.first_epoch = integer_at<std::uint64_t>(root, "first_epoch");
    std::uint64_t tasks = 0;
    for (const auto& step : root.at("steps")) {
      const auto number = record.job.steps.size();
      record.job.steps.push_back(read_step(step));
      tasks += record.job.steps.back().count;
      const auto& earlier = record.job.steps.back().depends_on;
      if (tasks > max_tasks || std::any_of(earlier.begin(), earlier.end(),
                                           [number](auto each) { return each >= number; })) {
        return absl::InvalidArgumentError("malformed record: too many tasks, or a later step");
      }
    }
    record.progress = empty_progress(record.job);
    return record;
  } catch (const std::exception& error) { // Includes rows of unknown tasks.
    return malformed(error);
  }
}

std::string write_progress(const durable_record& record) {
  // One row per task with an ended run: step, index, done, number of failures, ended attempt, lost
  // attempt, number of crashes, and if there are any failures or crashes, the failed and the
  // crashed attempts. Rows of processes of earlier versions lack some of the last columns, and
  // these processes ignore the columns that they don't know.
  json rows = json::array();
  for (std::size_t step = 0; step < record.progress.size(); ++step) {
    for (std::size_t index = 0; index < record.progress[step].size(); ++index) {
      const auto& task = record.progress[step][index];
      if (task != task_progress{}) {
        json row{step,
                 index,
                 task.done,
                 task.failed_attempts.size(),
                 task.ended_attempt,
                 task.lost_attempt,
                 task.crashed_attempts.size()};
        if (!task.failed_attempts.empty() || !task.crashed_attempts.empty()) {
          row.push_back(task.failed_attempts);
          row.push_back(task.crashed_attempts);
        }
        rows.push_back(std::move(row));
      }
    }
  }
  return rows.dump();
}

absl::Status parse_durable_progress(const std::string& text, durable_record& record) {
  const auto rows = json::parse(text, nullptr, false);
  if (!rows.is_array()) {
    return absl::InvalidArgumentError("malformed record: not a list");
  }
  absl::Status status;
  for (const auto& row : rows) {
    try {
      read_progress_row(row, record);
    } catch (const std::exception& error) { // Includes rows of unknown tasks.
      status.Update(malformed(error));
    }
  }
  return status;
}

std::string write_owner(const durable_owner& owner) {
  return json{{"epoch", owner.epoch},
              {"member", owner.member},
              {"released", owner.released},
              {"restart_epoch", owner.restart_epoch}}
      .dump();
}

absl::StatusOr<durable_owner> parse_durable_owner(const std::string& text) {
  try {
    const auto root = json::parse(text);
    const durable_owner owner{
        integer_at<std::uint64_t>(root, "epoch"), root.at("member").get<std::string>(),
        root.at("released").get<bool>(),
        root.contains("restart_epoch") ? integer_at<std::uint64_t>(root, "restart_epoch") : 0};
    if (owner.epoch > max_epoch || owner.restart_epoch > owner.epoch) {
      return absl::InvalidArgumentError("malformed record: epoch is out of range");
    }
    return owner;
  } catch (const std::exception& error) {
    return malformed(error);
  }
}

std::vector<std::vector<task_progress>> empty_progress(const fleet_job& job) {
  std::vector<std::vector<task_progress>> progress;
  for (const auto& step : job.steps) {
    progress.emplace_back(step.count);
  }
  return progress;
}

} // namespace parsleylead
