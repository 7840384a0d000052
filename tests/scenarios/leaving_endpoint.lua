-- A draining replica gets no new statements after 3 s. A draining primary is
-- replaced by a switchover and then gets none either, and no write is lost.
local cluster = require("cluster")

cluster.start({ vms = 2 })
cluster.start_load({ "--rate", "150", "--duration-ms", "11000", "--writes-permille", "400",
  "--records", "40", "--deadline-ms", "4000" })
sleep_ms(1000)
local before = cluster.group(1)
local replica = before.number % 3 + 1
local function check_no_work(n, what)
  sleep_ms(3000)
  local count = cluster.count_statements(n)
  sleep_ms(1000)
  check(cluster.count_statements(n) == count, what .. " gets no new statements")
end
cluster.fault(replica, { leaving = true })
check_no_work(replica, "the draining replica")
cluster.fault(replica, { leaving = false })
cluster.fault(before.number, { leaving = true })
check_no_work(before.number, "the draining primary")
check(cluster.group(1).number ~= before.number, "another endpoint is primary")
local report = cluster.finish_load(120)
print("  longest gap of writes: " .. report.write_gap_ms .. " ms")
