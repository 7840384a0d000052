-- A caller retries a non-idempotent write at another entry and after a
-- promotion, and the first answer is lost. The write must run exactly once.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local session = cluster.open("crew-1", 1)
local request = cluster.new_request()
cluster.fault(cluster.group(1).number, { lose_answers = 1 })
local first = cluster.write(session, 1, "bill", "append bill repair", { request_id = request })
check(first.outcome == "done", "the write is done though the endpoint's answer is lost: " .. encode(first))
local again = cluster.write(session, 2, "bill", "append bill repair", { request_id = request })
check(again.outcome == "done", "the retry is answered from the recorded outcome")
check(cluster.read_primary("bill") == "repair", "the write ran once")

local group = cluster.group(1)
signal("endpoint-" .. group.number, "KILL")
cluster.await_primary(group.term)
again = cluster.write(session, 2, "bill", "append bill repair", { request_id = request })
check(again.outcome == "done", "the recorded outcome survives a promotion: " .. encode(again))
check(cluster.read_primary("bill") == "repair", "the write ran once, also after the promotion")

local reused = cluster.write(session, 2, "bill", "append bill other", { request_id = request })
check(reused.error.code == "request_id_reused", "the request id cannot be reused for another statement")
