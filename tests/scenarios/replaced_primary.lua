-- The primary is isolated, still acts as the primary, and is reachable again
-- later. A pooler is stopped with SIGSTOP and continues with an old term. Then the
-- second primary is killed. No acknowledged write may be lost.
local cluster = require("cluster")

cluster.start({ vms = 2 })
cluster.start_load({ "--rate", "150", "--duration-ms", "9000", "--writes-permille", "600",
  "--transactions-permille", "100", "--deadline-ms", "4000", "--records", "40" })
sleep_ms(1500)
local first = cluster.group(1)
cluster.fault(first.number, { replication_cut = true })
sleep_ms(300)
cluster.fault(first.number, { cut = true })
local second = cluster.await_primary(first.term)
check(second.number ~= first.number, "another endpoint is primary")
cluster.fault(first.number, { cut = false, replication_cut = false })
sleep_ms(1500)
signal("pooler-1", "STOP")
sleep_ms(1000)
signal("pooler-1", "CONT")
sleep_ms(500)
signal("endpoint-" .. second.number, "KILL")
cluster.await_primary(second.term)
local report = cluster.finish_load(120)
print("  longest gap of writes: " .. report.write_gap_ms .. " ms")
