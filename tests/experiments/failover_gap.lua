-- Time without writes when a primary is isolated: from the fault to the first
-- write that is done. Prints the mean and the worst time of all runs.
-- settings.baseline "pooler:grants-on-path" measures promotion through the store.
local cluster = require("cluster")

cluster.start({ vms = 3, lag_ms = 20 })
local session = cluster.open("crew-1", 1)
local worst, sum, runs = 0, 0, 20
for run = 1, runs do
  local before = cluster.await_primary(0, { 1, 2, 3 })
  sleep_ms(300)
  cluster.fault(before.number, { cut = true })
  local began = now_ms()
  local written = cluster.write(session, 1 + run % 3, "r", "put r " .. run,
    { deadline_ms = 10000, idempotent = true })
  local gap = now_ms() - began
  check(written.outcome == "done", "run " .. run .. ": " .. encode(written))
  cluster.fault(before.number, { cut = false })
  worst = math.max(worst, gap)
  sum = sum + gap
  cluster.await_primary(before.term, { 1, 2, 3 })
  sleep_ms(700)
end
print(string.format("  isolated primary: %d runs, mean %d ms, worst %d ms", runs, sum // runs, worst))
