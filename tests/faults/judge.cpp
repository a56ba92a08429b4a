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

// Promise P6: an upstream that left gets no new work after this time.
constexpr milliseconds leave_bound{3000};
constexpr milliseconds account_limit{5000};

/// What the upstreams recorded.
struct started_tasks {
  std::map<std::string, int> by_echo;
  /// "submission task".
  std::map<std::string, int> by_task;
  /// Labels of attempts of which a task started.
  std::set<std::string> labels;
  std::size_t total = 0;
};

std::string label_of(const std::string& echo) {
  return echo.substr(0, echo.rfind('.'));
}

void read_starts(const site& place, int agent, const std::optional<wall_time>& left,
                 started_tasks& result, verdict& found) {
  std::ifstream file(place.starts_file(agent));
  std::string submission;
  std::string task;
  std::string echo;
  for (std::int64_t time = 0; file >> time >> submission >> task >> echo;) {
    ++result.total;
    ++result.by_echo[echo];
    ++result.by_task[absl::StrCat(submission, " ", task)];
    result.labels.insert(label_of(echo));
    if (left && wall_time(milliseconds(time)) > *left + leave_bound) {
      found.violations.push_back("P6: upstream " + std::to_string(agent) + " started " + echo +
                                 " more than 3 s after it left");
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
  for (const auto& one : attempts) {
    if (!one.key.empty() && started.labels.contains(one.label())) {
      ran[one.key].insert(one.label());
    }
  }
  for (const auto& [key, labels] : ran) {
    if (labels.size() > 1) {
      found.violations.push_back("P5: key " + key + " ran in " + std::to_string(labels.size()) +
                                 " submissions: " + *labels.begin() + " and " + *labels.rbegin());
    }
  }
}

// Empty if every answer is there, in order, and of one submission of this job.
std::string fault_of_answers(const attempt& one, const json& body) {
  const auto answers = body.find("answers");
  if (answers == body.end() || !answers->is_array() ||
      answers->size() != static_cast<std::size_t>(one.tasks)) {
    return "P2: a complete job has another number of answers";
  }
  std::string label = one.label();
  for (int i = 0; i < one.tasks; ++i) {
    const auto& item = (*answers)[static_cast<std::size_t>(i)];
    const auto answer =
        item.is_string() ? json::parse(item.get<std::string>(), nullptr, false) : json();
    const auto echo = answer.is_object() ? answer.value("echo", std::string()) : std::string();
    if (i == 0 && !one.key.empty() && echo.starts_with(std::to_string(one.job) + ".")) {
      // A duplicate request gets the answer of the submission that holds its key.
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

  void judge(const attempt& one) {
    ++found_.jobs;
    if (one.outcome != attempt::end::replied) {
      judge_lost(one);
      return;
    }
    const auto body = json::parse(one.body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (state == "complete") {
      judge_complete(one, body);
    } else if (state == "refused" || state == "failed" || state == "cancelled") {
      judge_incomplete(one, body);
    } else {
      add(one, "P2: a reply of an unknown form, status " + std::to_string(one.status) + ": " +
                   one.body.substr(0, 200));
    }
  }

private:
  void judge_lost(const attempt& one) {
    ++found_.lost;
    const bool entry_was_gone = one.outcome == attempt::end::not_sent && !one.routed_at_end;
    if (allowed_ == tolerance::no_cut_request && !entry_was_gone) {
      add(one, "P7: the connection broke: " + one.error);
    }
  }

  void judge_complete(const attempt& one, const json& body) {
    ++found_.complete;
    const auto fault = fault_of_answers(one, body);
    if (one.status != 200 || !fault.empty()) {
      add(one, fault.empty() ? "P2: complete with status " + std::to_string(one.status) : fault);
    }
  }

  void judge_incomplete(const attempt& one, const json& body) {
    const auto run = body.value("run", std::string());
    if (one.status == 200 || body.contains("answers")) {
      add(one, "P2: a failed job came with answers or status 200");
    }
    if (run == "not_run") {
      ++found_.not_run;
      if (started_.labels.contains(one.label())) {
        add(one, "P4: refused as not run (" + body.value("reason", std::string()) +
                     "), yet a task of it started");
      }
      return;
    }
    ++found_.failed;
    const auto reason = body.value("reason", std::string());
    // The key of the request belongs to another submission of the same caller.
    const bool of_another = reason == "duplicate_key" || reason == "answer_expired";
    if (allowed_ == tolerance::no_cut_request && !of_another) {
      add(one, "P7: ended as " + run + ": " + reason + " at " + body.value("step", std::string()) +
                   " (" + body.value("detail", std::string()) + ")");
    }
  }

  void add(const attempt& one, const std::string& text) {
    found_.violations.push_back(text + " [job " + one.label() + " at entry " +
                                std::to_string(one.target.entry) + ", " +
                                std::to_string(one.duration.count()) + " ms]");
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

verdict judge_run(const site& place, const std::vector<attempt>& attempts, tolerance allowed) {
  verdict found;
  started_tasks started;
  for (int i = 1; i <= place.agents(); ++i) {
    read_starts(place, i, place.agent(i).left, started, found);
  }
  found.starts = started.total;
  check_single_starts(started, found);
  check_keys(attempts, started, found);
  attempt_judge judge(started, allowed, found);
  for (const auto& one : attempts) {
    judge.judge(one);
  }
  return found;
}

std::vector<std::string> judge_accounts(const site& place) {
  std::vector<std::string> faults;
  for (const auto& [name, operations] : place.running_entries()) {
    json page;
    const auto settled = [&, address = operations] {
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
    if (!wait_until(settled, account_limit)) {
      faults.push_back("account of " + name +
                       (page.is_object()
                            ? " does not balance or has open jobs: " + page["jobs"].dump()
                            : " is not served"));
    }
  }
  return faults;
}

} // namespace parsleylead::faults
