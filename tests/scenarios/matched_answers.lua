-- Endpoints answer after the deadline, and later swap answers. No request may get
-- the answer to another request.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local session = cluster.open("crew-1", 1)
check(cluster.write(session, 1, "late", "put late secret").outcome == "done", "the write is done")
for n = 1, 3 do cluster.fault(n, { delay_answers = 3, delay_ms = 600 }) end
local late = cluster.read(session, 1, "late", { deadline_ms = 200 })
check(late.outcome ~= "done", "a read whose answer is late is not done")
for n = 1, 3 do cluster.fault(n, { delay_answers = 0 }) end
for n = 1, 20 do
  local read = cluster.read(session, 1 + n % 2, "other")
  check(read.outcome == "done" and read.answer == "", "a later read gets its own answer")
end

cluster.start_load({ "--rate", "300", "--duration-ms", "4000", "--writes-permille", "300",
  "--records", "20", "--deadline-ms", "2500" })
for _ = 1, 6 do
  sleep_ms(500)
  for n = 1, 3 do cluster.fault(n, { swap_answers = 6 }) end
end
for n = 1, 3 do cluster.fault(n, { swap_answers = 0 }) end
cluster.finish_load(120)
