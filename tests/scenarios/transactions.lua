-- Transactions of two callers run side by side through both entries; poolers
-- are killed in the middle: each transaction leaves all or nothing.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local function begin(caller, record)
  local session = cluster.open(caller, 1)
  local answer = cluster.ask(session, 1, "/v1/begin", { record = record })
  check(answer.outcome == "done", "begin is done")
  return session
end

local one = begin("crew-1", "a")
local two = begin("crew-2", "a")
for n = 1, 6 do
  check(cluster.write(one, 1 + n % 2, "a", "append a one" .. n).outcome == "done", "write of one")
  check(cluster.write(two, 2 - n % 2, "a", "append a two" .. n).outcome == "done", "write of two")
  local read = cluster.read(one, 1 + n % 2, "a")
  check(not string.find(read.answer, "two"), "one does not see what two has not committed")
end
check(cluster.read_primary("a") == "", "nobody sees what is not committed")
check(cluster.ask(one, 2, "/v1/commit", {}).outcome == "done", "commit through another entry")
check(cluster.ask(two, 1, "/v1/rollback", {}).outcome == "done", "rollback")
check(cluster.read_primary("a") == "one1,one2,one3,one4,one5,one6", "only the committed is there")

-- A stolen token is of no use to another caller.
local victim = begin("crew-1", "b")
local thief = { caller = "crew-2", token = victim.token }
local stolen = cluster.write(thief, 1, "b", "append b stolen")
check(stolen.error.code == "forged_token", "another caller's token is refused")

-- The pooler dies before the commit.
check(cluster.write(victim, 1, "b", "append b lost").outcome == "done", "write before the kill")
local owner = eventually(5, "the owner is known", function()
  for n = 1, 2 do
    local status = cluster.rpc(n, "status")
    if status.transactions > 0 then return n end
  end
end)
signal("pooler-" .. owner, "KILL")
wait_exit("pooler-" .. owner, 5)
local request = cluster.new_request()
local commit = cluster.ask(victim, 2, "/v1/commit", { request_id = request, deadline_ms = 8000 })
check(commit.outcome == "not_run" and commit.error.code == "transaction_lost",
  "the caller is told that nothing was committed: " .. encode(commit))
check(cluster.read_primary("b") == "", "nothing of it is there")

-- The answer to a commit is lost: the recorded outcome is found.
cluster.start_pooler(owner)
local third = begin("crew-1", "c")
check(cluster.write(third, 1, "c", "append c kept").outcome == "done", "write before the commit")
cluster.fault(cluster.group(3 - owner).number, { lose_answers = 1 })
commit = cluster.ask(third, 1, "/v1/commit", { deadline_ms = 6000 })
check(commit.outcome == "done", "the lost answer is settled: " .. encode(commit))
check(cluster.read_primary("c") == "kept", "the commit is there once")
