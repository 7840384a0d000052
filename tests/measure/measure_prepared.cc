/** @file
    @brief Measures the memory that prepared statements cost a node: runs a
   site, prepares and executes many shapes through the node, and compares the
   node's resident memory before and after. Run by scripts/measure-prepared.
*/
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/net.h"
#include "process/process.h"
#include "settings/settings.h"
#include "standins/site/site_server.h"

namespace magnoliareel {
namespace {

constexpr int kExitOverLimit = 1;

/** Settings of measure-prepared. */
struct PreparedSettings {
  int64_t base_port = 9000;
  /** Callers' address of the node, and its process. */
  SocketAddress node;
  int64_t node_pid = 0;
  std::string database = "timesheets";
  /** Number of shapes, and length of each in bytes. */
  int64_t shapes = 20000;
  int64_t length = 200;
  /** Number of different ones among them; with 1, what traffic alone costs. */
  int64_t distinct = 10'000'000;
  int64_t sessions = 1;
  /** Number of names that a session prepares shapes under, in turn. */
  int64_t names = 20000;
  /** Number of sessions that use each shape. */
  int64_t uses = 1;
  /** Maximum growth in KiB; 0 for none. */
  int64_t max_growth_kib = 0;
};

/** @param pid  a process
    @returns    its resident memory in KiB, or 0 if it has ended */
int64_t ReadResidentKib(int64_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; file >> word;) {
    if (int64_t kib = 0; word == "VmRSS:" && file >> kib) {
      return kib;
    }
  }
  return 0;
}

/** A caller's session that prepares and executes shapes, with a few statements
    outstanding. */
class ShapeCaller {
 public:
  /** @param loop      runs the session
      @param settings  of the measurement
      @param index     number of the session
      @param changed   called when the session is ready or has finished
  */
  ShapeCaller(EventLoop& loop,
              const PreparedSettings& settings,
              int64_t index,
              std::function<void()> changed)
      : loop_(loop),
        settings_(settings),
        index_(index),
        changed_(std::move(changed)) {}

  /** Opens the session and executes one shape. */
  void Open() { stream_.Connect(loop_, settings_.node, *this); }
  /** Executes all shapes of the session. */
  void Run() {
    next_shape_ = 0;
    is_running_ = true;
    SendMore();
  }

  bool IsWarm() const { return is_warm_; }
  bool HasFinished() const { return has_finished_; }
  int64_t CountErrors() const { return errors_; }
  const std::string& GetFirstError() const { return first_error_; }

  void HandleOpened() {
    stream_.Append("STARTUP " + settings_.database + " measured\r\n");
    outstanding_ = 1;
    is_open_ = false;
    stream_.Flush();
  }

  void HandleBytes(std::string_view bytes) {
    input_ += bytes;
    size_t begin = 0;
    for (size_t end = 0; (end = input_.find("\r\n", begin)) != input_.npos;
         begin = end + 2) {
      HandleLine(std::string_view(input_).substr(begin, end - begin));
    }
    input_.erase(0, begin);
    SendMore();
  }

  void HandleClosed(std::error_code) {
    if (!is_warm_) {
      if (ReadResidentKib(settings_.node_pid) == 0) {
        AddError("the node has ended");
        loop_.Stop();
        return;
      }
      // The node isn't ready yet.
      input_.clear();
      errors_ = 0;
      first_error_.clear();
      RunLater(loop_, std::chrono::milliseconds(200), [this] { Open(); });
      return;
    }
    AddError("the session ended");
    Finish();
  }

 private:
  static constexpr int64_t kWindow = 16;

  void Send(const std::string& text) {
    stream_.Append("QUERY m" + std::to_string(index_) + "-" +
                   std::to_string(++requests_) + " " + text + "\r\n");
    ++outstanding_;
  }

  void SendShape(const std::string& name, const std::string& shape) {
    Send("PREPARE " + name + " READ " + shape);
    Send("EXECUTE " + name + " item");
  }

  void SendMore() {
    if (!is_running_) {
      if (outstanding_ == 0 && !is_warm_) {
        is_warm_ = true;
        changed_();
      }
      return;
    }
    for (; next_shape_ < settings_.shapes && outstanding_ < kWindow;
         ++next_shape_) {
      // Successive sessions use a shape, starting from a different one each.
      if ((index_ + next_shape_) % settings_.sessions >= settings_.uses) {
        continue;
      }
      std::string shape =
          "shape-" + std::to_string(next_shape_ % settings_.distinct) + "-";
      shape.resize(static_cast<size_t>(settings_.length), 'x');
      SendShape("s" + std::to_string(next_name_++ % settings_.names), shape);
    }
    stream_.Flush();
    if (outstanding_ == 0) {
      Finish();
    }
  }

  void HandleLine(std::string_view line) {
    if (line.starts_with("READY")) {
      --outstanding_;
      if (!std::exchange(is_open_, true)) {
        SendShape("warm", "warm");
        stream_.Flush();
      }
    } else if (line.starts_with("ERROR")) {
      AddError(line);
    }
  }

  void AddError(std::string_view text) {
    if (errors_++ == 0) {
      first_error_ = text;
    }
  }

  void Finish() {
    if (!has_finished_) {
      has_finished_ = true;
      changed_();
    }
  }

  EventLoop& loop_;
  const PreparedSettings& settings_;
  const int64_t index_;
  const std::function<void()> changed_;
  Stream stream_;
  std::string input_;
  int64_t outstanding_ = 0;
  int64_t requests_ = 0;
  int64_t next_shape_ = 0;
  int64_t next_name_ = 0;
  int64_t errors_ = 0;
  std::string first_error_;
  bool is_open_ = false;
  bool is_warm_ = false;
  bool is_running_ = false;
  bool has_finished_ = false;
};

/** The site and all sessions of a measurement. */
class PreparedMeasurement {
 public:
  PreparedMeasurement(EventLoop& loop, const PreparedSettings& settings)
      : loop_(loop),
        settings_(settings),
        site_(loop, MakeSiteSettings(settings)) {}

  /** @returns the system error if the site cannot listen */
  std::error_code Start() {
    if (const std::error_code ec = site_.Start()) {
      return ec;
    }
    for (int64_t n = 0; n < settings_.sessions; ++n) {
      callers_.push_back(std::make_unique<ShapeCaller>(
          loop_, settings_, n, [this] { HandleChange(); }));
      callers_.back()->Open();
    }
    return {};
  }

  /** @returns the exit code */
  int Report() const {
    int64_t errors = 0;
    std::string first_error;
    for (const auto& it : callers_) {
      errors += it->CountErrors();
      first_error = first_error.empty() ? it->GetFirstError() : first_error;
    }
    const int64_t growth = after_kib_ - before_kib_;
    std::printf(
        "%lld shapes of %lld bytes, %lld sessions (%lld use each shape, %lld "
        "names each): "
        "%lld KiB before, %lld KiB after, growth %lld KiB, %lld errors%s%s\n",
        static_cast<long long>(settings_.shapes),
        static_cast<long long>(settings_.length),
        static_cast<long long>(settings_.sessions),
        static_cast<long long>(settings_.uses),
        static_cast<long long>(settings_.names),
        static_cast<long long>(before_kib_), static_cast<long long>(after_kib_),
        static_cast<long long>(growth), static_cast<long long>(errors),
        first_error.empty() ? "" : ", the first: ", first_error.c_str());
    const bool is_over_limit =
        settings_.max_growth_kib != 0 && growth > settings_.max_growth_kib;
    return errors != 0 || after_kib_ == 0 || is_over_limit ? kExitOverLimit
                                                           : kExitOk;
  }

 private:
  static SiteSettings MakeSiteSettings(const PreparedSettings& settings) {
    SiteSettings site;
    site.base_port = settings.base_port;
    site.group.slots = 32;
    site.group.mean_run_time = std::chrono::milliseconds(1);
    return site;
  }

  void HandleChange() {
    if (before_kib_ == 0) {
      for (const auto& it : callers_) {
        if (!it->IsWarm()) {
          return;
        }
      }
      before_kib_ = ReadResidentKib(settings_.node_pid);
      for (const auto& it : callers_) {
        it->Run();
      }
      return;
    }
    for (const auto& it : callers_) {
      if (!it->HasFinished()) {
        return;
      }
    }
    after_kib_ = ReadResidentKib(settings_.node_pid);
    loop_.Stop();
  }

  EventLoop& loop_;
  const PreparedSettings& settings_;
  SiteServer site_;
  std::vector<std::unique_ptr<ShapeCaller>> callers_;
  int64_t before_kib_ = 0;
  int64_t after_kib_ = 0;
};

int Run(std::span<char* const> args) {
  PreparedSettings settings;
  FlagTable flags("measure-prepared",
                  "Measures a node's memory; see scripts/measure-prepared.");
  flags.AddNumber("base-port", "first of the site's four ports", 1, 65000,
                  settings.base_port);
  flags.AddAddress("node", "callers' address of the node", true, settings.node);
  flags.AddNumber("node-pid", "process of the node", 1, 1 << 30,
                  settings.node_pid);
  flags.AddText("database", "database of the sessions", false,
                settings.database);
  flags.AddNumber("shapes", "number of shapes", 1, 10'000'000, settings.shapes);
  flags.AddNumber("distinct", "number of different ones among them", 1,
                  10'000'000, settings.distinct);
  flags.AddNumber("length", "length of a shape in bytes", 20, 1 << 20,
                  settings.length);
  flags.AddNumber("sessions", "number of sessions", 1, 1000, settings.sessions);
  flags.AddNumber("names", "names that a session prepares shapes under", 1,
                  10'000'000, settings.names);
  flags.AddNumber("uses", "number of sessions that use each shape", 1, 1000,
                  settings.uses);
  flags.AddNumber("max-growth-kib", "maximum growth; 0: no maximum", 0, 1 << 30,
                  settings.max_growth_kib);
  Findings findings;
  if (const FlagResult result = flags.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  PreparedMeasurement measurement(loop, settings);
  if (const std::error_code ec = measurement.Start()) {
    std::fprintf(stderr, "cannot listen: %s\n", ec.message().c_str());
    return kExitCannotListen;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return measurement.Report();
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
