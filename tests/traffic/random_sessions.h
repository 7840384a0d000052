#ifndef MAGNOLIAREEL_TESTS_TRAFFIC_RANDOM_SESSIONS_H_
#define MAGNOLIAREEL_TESTS_TRAFFIC_RANDOM_SESSIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tests/traffic/traffic_simulation.h"

namespace magnoliareel {

/** @returns what follows the name in the text of an execution */
std::string_view GetArguments(std::string_view text);

/** Callers that prepare, set and execute random texts, which resemble each
   other and the protocol, and what they expect of the databases. The databases
   refuse some PREPAREs and SETs and forget names. */
class RandomSessions {
 public:
  /** @param seed         seed of every random choice
      @param vms          number of VMs, with two callers each
      @param connections  number of connections that each database accepts
  */
  RandomSessions(uint64_t seed, size_t vms, uint32_t connections);

  /** Lets each caller send a text, if it has its answer, and time pass. */
  void RunRounds(int rounds);
  /** @returns what ran otherwise than its caller had prepared, set and sent,
     and refusals that are not true */
  std::vector<std::string> Check();
  /** @returns the number of executions that were answered with success, and of
               writes that were refused; known after Check() */
  int GetSuccessCount() const { return success_count_; }
  int GetRefusedCount() const { return refused_count_; }
  TrafficSimulation& GetSimulation() { return simulation_; }

 private:
  struct Expected {
    std::string shape;
    std::string arguments;
    std::map<std::string, std::string> values;
    bool in_transaction = false;
    /** COMPLETE, or the code of the error; empty without an answer. */
    std::string answer;
  };
  struct Session {
    uint64_t id = 0;
    size_t vm = 0;
    bool is_busy = true;
    char status = 'I';
    std::string request;
    std::string answer;
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> values;
  };

  void Open(Session& session, size_t vm);
  void Run(Duration time);
  void HandleLine(Session& session, std::string_view line);
  void SendNext(Session& session);
  std::string ChooseText(Session& session);
  std::string_view Pick(const std::vector<std::string_view>& texts) {
    return texts[random_() % texts.size()];
  }

  std::mt19937_64 random_;
  TrafficSimulation simulation_;
  std::deque<Session> sessions_;
  /** By request id. */
  std::map<std::string, Expected> expected_;
  uint64_t request_count_ = 0;
  int success_count_ = 0;
  int refused_count_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_TRAFFIC_RANDOM_SESSIONS_H_
