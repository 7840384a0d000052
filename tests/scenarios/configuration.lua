-- A document is in force everywhere within 5 s, a VM started during a store
-- outage works with it, it never reverts, and of two operators one wins.
local cluster = require("cluster")

local function versions(poolers)
  local list = {}
  for i, n in ipairs(poolers) do
    local status = cluster.rpc(n, "status")
    list[i] = status and status.version or 0
  end
  return list
end

local function all_at_least(poolers, version)
  for _, it in ipairs(versions(poolers)) do
    if it < version then return false end
  end
  return true
end

cluster.start({ vms = 2 })
local second = cluster.document({ max_deadline_ms = 50000 })
local third = cluster.document({ max_deadline_ms = 40000 })
local began = now_ms()
check(cluster.put_document(second, 2) == 200, "the first operator wins")
check(cluster.put_document(third, 2) == 409, "the second operator is refused")
eventually(5, "version 2 is in force", function() return all_at_least({ 1, 2 }, 2) end)
print("  in force after " .. (now_ms() - began) .. " ms")
local session = cluster.open("crew-1", 1)
eventually(5, "the entries follow", function()
  local answer = cluster.read(session, 1, "r", { deadline_ms = 55000 })
  return answer.error and answer.error.code == "out_of_range"
end)

-- The store goes down; a fresh VM takes the document from its peers.
cluster.platform_fault({ out = true })
cluster.start_pooler(3, { "--peers", cluster.pooler(1) .. "," .. cluster.pooler(2) })
cluster.start_entry(3, { "--peers", cluster.pooler(1) })
eventually(5, "the fresh pooler has version 2", function() return all_at_least({ 3 }, 2) end)
cluster.await_entry(3)
local fresh = cluster.open("crew-1", 3)
check(cluster.write(fresh, 3, "r", "put r x").outcome == "done", "the fresh entry serves")
cluster.platform_fault({ out = false })

-- An older document offered again does not come into force.
sleep_ms(1500)
check(cluster.put_document(third, 2) == 409, "an old version is refused by the store")
check(all_at_least({ 1, 2, 3 }, 2), "nothing has reverted")
