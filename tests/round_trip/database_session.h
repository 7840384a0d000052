#ifndef MAGNOLIAREEL_TESTS_ROUND_TRIP_DATABASE_SESSION_H_
#define MAGNOLIAREEL_TESTS_ROUND_TRIP_DATABASE_SESSION_H_

#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliareel {

/** A statement that a database was asked to run. */
struct DatabaseRun {
  std::string id;
  /** The position behind AFTER; empty without it. */
  std::string after;
  /** The statement, or the shape of the prepared one. */
  std::string text;
  /** READ or WRITE for a prepared statement, otherwise empty. */
  std::string prepared_as;
  /** What follows the name in EXECUTE, with the blank before it. */
  std::string arguments;

  bool operator==(const DatabaseRun&) const = default;
};

/** Prints a run in a counterexample. */
std::ostream& operator<<(std::ostream& out, const DatabaseRun& run);

/** A session of a database, which reads lines as the protocol's page says and
    shares no code with the encoders: a message is a word and its fields,
    separated by blanks, and the last field extends to the end of the line. */
class DatabaseSession {
 public:
  /** @param line  a line without CR LF
      @returns     false if the page has no such message */
  bool Receive(std::string_view line);

  const std::vector<DatabaseRun>& GetRuns() const { return runs_; }
  const std::map<std::string, std::string>& GetValues() const {
    return values_;
  }

 private:
  struct Prepared {
    std::string kind;
    std::string shape;
  };

  bool ReceiveText(std::string id, std::string_view text);

  std::map<std::string, std::string> values_;
  std::map<std::string, Prepared> prepared_;
  std::vector<DatabaseRun> runs_;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_TESTS_ROUND_TRIP_DATABASE_SESSION_H_
