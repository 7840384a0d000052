-- Latency of short writes beside long ones: the same load without and with
-- stragglers, which are one or two statements in a hundred that run a hundred
-- times as long. settings.baseline "pooler:fifo" measures a first-in, first-out
-- queue.
local cluster = require("cluster")

cluster.start({ vms = 2, lag_ms = 5 })
local function run(long_permille)
  cluster.start_load({ "--rate", "150", "--duration-ms", "8000", "--writes-permille", "1000",
    "--short-ms", "10", "--long-permille", tostring(long_permille), "--long-ms", "1000",
    "--long-declared", "0", "--records", "50", "--deadline-ms", "10000", "--history", "" })
  check(wait_exit("load", 120) == 0, "the exit code of the load is 0")
  local report = decode(read_file(settings.log_dir .. "/report.json"))
  local p99, not_done = 0, 0
  for _, row in ipairs(report.rows) do
    if row.class == "short" then
      p99 = math.max(p99, row.p99_ms)
      not_done = not_done + row.not_run + row.unknown + row.failed
    end
  end
  return p99, not_done
end
run(20) -- Lets the poolers learn the run times of the statements.
local without, lost_without = run(0)
print(string.format("  no stragglers: p99 of short writes %.1f ms, not done %d", without, lost_without))
for _, permille in ipairs({ 10, 20 }) do
  local with, lost = run(permille)
  print(string.format("  %d in 1000: p99 of short writes %.1f ms, factor %.2f, not done %d", permille,
    with, with / without, lost))
end
