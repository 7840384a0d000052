-- Share of reads that replicas serve, and the latency of reads and writes, under a
-- constant request rate. settings.baseline "entry:primary-reads" measures a
-- baseline with all reads at the primary.
local cluster = require("cluster")

cluster.start({ vms = 6, groups = 3, lag_ms = 30 })
cluster.start_load({ "--rate", "400", "--duration-ms", "10000", "--writes-permille", "250",
  "--records", "300", "--deadline-ms", "5000", "--max-age-ms", "5000" })
local report = cluster.finish_load(120)
for _, row in ipairs(report.rows) do
  if row.kind ~= "transaction" then
    print(string.format("  %s %s: %d done, p50 %.1f ms, p99 %.1f ms", row.caller, row.kind, row.done,
      row.p50_ms, row.p99_ms))
  end
end
print(string.format("  reads from replicas: %.1f%%", 100 * report.replica_share))
