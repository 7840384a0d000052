-- A burst: ten times the request rate for 4 s, with two slots for each endpoint.
-- One of the four callers sends five times as many requests as each of the others.
-- settings.baseline "pooler:fifo" or "entry:primary-reads" measures a baseline.
local cluster = require("cluster")

cluster.callers = { "north", "south", "east", "west" }
cluster.start({ vms = 6, groups = 3, slots = 2, connect_ms = 27, lag_ms = 20 })
local entries = {}
for n = 1, 6 do entries[n] = cluster.entry(n) end
start("load", { settings.bin_dir .. "/apps/load/magnoliareel-load", "--entries",
  table.concat(entries, ","), "--callers",
  "north=key-north*1,south=key-south*1,east=key-east*1,west=key-west*5", "--service", "groyne-logs",
  "--seed", tostring(settings.seed), "--rate", "120", "--duration-ms", "10000", "--crest-factor",
  "10", "--crest-at-ms", "3000", "--crest-for-ms", "4000", "--writes-permille", "100", "--short-ms",
  "10", "--records", "3000", "--deadline-ms", "2000", "--report", settings.log_dir .. "/report.json" })
check(wait_exit("load", 120) == 0, "the exit code of the load is 0")
print(read_file(settings.log_dir .. "/load.log"):gsub("%s*%d+ s:[^\n]*\n", ""))
