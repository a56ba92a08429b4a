#include "judge.hpp"

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// P6: an upstream that deregistered starts no new tasks after this time.
constexpr milliseconds deregistration_limit{3000};
constexpr milliseconds account_timeout{5000};

/// Task starts recorded by the upstreams.
struct started_tasks {
  std::map<std::string, int> by_echo;
  /// Key: "submission task".
  std::map<std::string, int> by_task;
  /// Labels of the attempts that had at least one task started.
  std::set<std::string> labels;
  std::size_t total = 0;
};

std::string label_of(const std::string& echo) {
  return echo.substr(0, echo.rfind('.'));
}

void read_starts(const site& test_site, int agent, const std::optional<wall_time>& deregistered_at,
                 started_tasks& result, verdict& found) {
  std::ifstream file(test_site.starts_file(agent));
  std::string submission;
  std::string task;
  std::string echo;
  for (std::int64_t time = 0; file >> time >> submission >> task >> echo;) {
    ++result.total;
    ++result.by_echo[echo];
    ++result.by_task[absl::StrCat(submission, " ", task)];
    result.labels.insert(label_of(echo));
    if (deregistered_at &&
        wall_time(milliseconds(time)) > *deregistered_at + deregistration_limit) {
      found.violations.push_back("P6: upstream " + std::to_string(agent) + " started " + echo +
                                 " more than 3 s after it deregistered");
    }
  }
}

void check_single_starts(const started_tasks& started, verdict& found) {
  for (const auto& [echo, count] : started.by_echo) {
    if (count > 1) {
      found.violations.push_back("P1: task " + echo + " started " + std::to_string(count) +
                                 " times");
    }
  }
  for (const auto& [task, count] : started.by_task) {
    if (count > 1) {
      found.violations.push_back("P1: submission and task " + task + " started " +
                                 std::to_string(count) + " times");
    }
  }
}

void check_keys(const std::vector<attempt>& attempts, const started_tasks& started,
                verdict& found) {
  std::map<std::string, std::set<std::string>> ran;
  for (const auto& checked : attempts) {
    if (!checked.key.empty() && started.labels.contains(checked.label())) {
      ran[checked.key].insert(checked.label());
    }
  }
  for (const auto& [key, labels] : ran) {
    if (labels.size() > 1) {
      found.violations.push_back("P5: key " + key + " ran in " + std::to_string(labels.size()) +
                                 " submissions: " + *labels.begin() + " and " + *labels.rbegin());
    }
  }
}

// Returns an empty string if all answers are present, in order, and from one submission of the job.
std::string answers_error(const attempt& checked, const json& body) {
  const auto answers = body.find("answers");
  if (answers == body.end() || !answers->is_array() ||
      answers->size() != static_cast<std::size_t>(checked.tasks)) {
    return "P2: a complete job has the wrong number of answers";
  }
  std::string label = checked.label();
  for (int i = 0; i < checked.tasks; ++i) {
    const auto& item = (*answers)[static_cast<std::size_t>(i)];
    const auto answer =
        item.is_string() ? json::parse(item.get<std::string>(), nullptr, false) : json();
    const auto echo = answer.is_object() ? answer.value("echo", std::string()) : std::string();
    if (i == 0 && !checked.key.empty() && echo.starts_with(std::to_string(checked.job) + ".")) {
      // A duplicate request receives the answers of the submission that holds its key.
      label = label_of(echo);
    }
    if (echo != label + "." + std::to_string(i)) {
      return "P3: answer " + std::to_string(i) + " is \"" + echo + "\"";
    }
  }
  return "";
}

class attempt_judge {
public:
  attempt_judge(const started_tasks& started, tolerance allowed, verdict& found)
      : started_(started), allowed_(allowed), found_(found) {}

  void judge(const attempt& checked) {
    ++found_.jobs;
    if (checked.outcome != attempt::end::replied) {
      judge_lost(checked);
      return;
    }
    const auto body = json::parse(checked.body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (state == "complete") {
      judge_complete(checked, body);
    } else if (state == "refused" || state == "failed" || state == "cancelled") {
      judge_incomplete(checked, body);
    } else {
      add_violation(checked, "P2: a reply in an unknown format, status " +
                                 std::to_string(checked.status) + ": " +
                                 checked.body.substr(0, 200));
    }
  }

private:
  void judge_lost(const attempt& checked) {
    ++found_.lost;
    const bool entry_had_stopped =
        checked.outcome == attempt::end::not_sent && !checked.still_routed_at_end;
    if (allowed_ == tolerance::no_failures && !entry_had_stopped) {
      add_violation(checked, "P7: the connection broke: " + checked.error);
    }
  }

  void judge_complete(const attempt& checked, const json& body) {
    ++found_.complete;
    const auto error = answers_error(checked, body);
    if (checked.status != 200 || !error.empty()) {
      add_violation(checked, error.empty()
                                 ? "P2: complete with status " + std::to_string(checked.status)
                                 : error);
    }
  }

  void judge_incomplete(const attempt& checked, const json& body) {
    const auto run = body.value("run", std::string());
    if (checked.status == 200 || body.contains("answers")) {
      add_violation(checked, "P2: a failed job came with answers or status 200");
    }
    if (run == "not_run") {
      ++found_.not_run;
      if (started_.labels.contains(checked.label())) {
        add_violation(checked, "P4: refused as not run (" + body.value("reason", std::string()) +
                                   "), yet a task of it started");
      }
      return;
    }
    ++found_.failed;
    const auto reason = body.value("reason", std::string());
    // Another submission of the same caller holds the request key.
    const bool holds_other_submission = reason == "duplicate_key" || reason == "answer_expired";
    if (allowed_ == tolerance::no_failures && !holds_other_submission) {
      add_violation(checked, "P7: ended as " + run + ": " + reason + " at " +
                                 body.value("step", std::string()) + " (" +
                                 body.value("detail", std::string()) + ")");
    }
  }

  void add_violation(const attempt& checked, const std::string& text) {
    found_.violations.push_back(text + " [job " + checked.label() + " at entry " +
                                std::to_string(checked.target.entry) + ", " +
                                std::to_string(checked.duration.count()) + " ms]");
  }

  const started_tasks& started_;
  tolerance allowed_;
  verdict& found_;
};

} // namespace

std::string verdict::summary() const {
  std::ostringstream text;
  text << jobs << " jobs: " << complete << " complete, " << not_run << " not run, " << failed
       << " failed, " << lost << " lost; " << starts << " starts";
  return text.str();
}

verdict judge_run(const site& test_site, const std::vector<attempt>& attempts, tolerance allowed) {
  verdict found;
  started_tasks started;
  for (int i = 1; i <= test_site.agents(); ++i) {
    read_starts(test_site, i, test_site.agent(i).deregistered_at, started, found);
  }
  found.starts = started.total;
  check_single_starts(started, found);
  check_keys(attempts, started, found);
  attempt_judge judge(started, allowed, found);
  for (const auto& checked : attempts) {
    judge.judge(checked);
  }
  return found;
}

std::vector<std::string> judge_accounts(const site& test_site) {
  std::vector<std::string> faults;
  for (const auto& [name, operations] : test_site.running_entries()) {
    json page;
    const auto is_settled = [&, address = operations] {
      page = get_json(address, "/v1/account");
      if (!page.is_object() || !page.value("balances", false)) {
        return false;
      }
      for (const auto& totals : page["jobs"]) {
        if (totals["open"] != 0) {
          return false;
        }
      }
      return true;
    };
    if (!wait_until(is_settled, account_timeout)) {
      faults.push_back("account of " + name +
                       (page.is_object()
                            ? " does not balance or has open jobs: " + page["jobs"].dump()
                            : " is not served"));
    }
  }
  return faults;
}

} // namespace parsleylead::faults
