-- A request that is answered with not_run must have no effect, though answers
-- are lost and the primary is killed with writes in progress. The load settles
-- unknown outcomes, and the history check compares them with the final records.
local cluster = require("cluster")

cluster.start({ vms = 2 })
cluster.start_load({ "--rate", "150", "--duration-ms", "6000", "--writes-permille", "900",
  "--idempotent-permille", "0", "--deadline-ms", "1500", "--records", "30" })
for _ = 1, 4 do
  sleep_ms(500)
  cluster.fault(cluster.group(1).number, { lose_answers = 6 })
end
local group = cluster.group(1)
cluster.fault(group.number, { lose_answers = 20 })
sleep_ms(50)
signal("endpoint-" .. group.number, "KILL")
cluster.await_primary(group.term)
local report = cluster.finish_load(120)
print("  done " .. report.done .. " of " .. report.finished)
