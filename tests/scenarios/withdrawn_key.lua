-- A caller's key is withdrawn, then the store goes down and an entry and a pooler
-- are killed and started anew. They learn the document from the processes that
-- are left, so the withdrawn key must be rejected and another caller served.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local withdrawn, kept = cluster.callers[2], cluster.callers[1]
check(cluster.open(withdrawn, 1) ~= nil, "the key is accepted before it is withdrawn")

check(cluster.put_document(cluster.document({ without_caller = withdrawn }), 2) == 200,
  "the document without the key is accepted")
for n = 1, 2 do
  eventually(5, "entry " .. n .. " rejects the withdrawn key", function()
    return cluster.open(withdrawn, n) == nil and cluster.open(kept, n) ~= nil
  end)
end

cluster.platform_fault({ out = true })
signal("entry-1", "KILL")
signal("pooler-1", "KILL")
cluster.start_pooler(1, { "--peers", cluster.pooler(2) })
cluster.start_entry(1, { "--peers", cluster.pooler(2) })
local accepted = 0
eventually(10, "the new entry serves the caller whose key holds", function()
  if cluster.open(withdrawn, 1) ~= nil then accepted = accepted + 1 end
  local session = cluster.open(kept, 1)
  return session and cluster.write(session, 1, "r", "put r x").outcome == "done"
end)
for _ = 1, 20 do
  if cluster.open(withdrawn, 1) ~= nil then accepted = accepted + 1 end
  sleep_ms(50)
end
check(accepted == 0, "the withdrawn key was accepted " .. accepted .. " times after the restart")
