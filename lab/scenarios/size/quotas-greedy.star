# The size that is coming, with quotas lent in levels: 300 dispatchers in three regions, 580 backends, 310 teams whose jobs run for 250 s,
# some 9,000 at once. One team of the largest wants ten times its quota, the other 309 just theirs. Urgent reqs are a tenth of all that
# begin; their teams' own units are in use, so that they draw on the reserve.
traffic(length = 200, rate = 3.6, retries = 100, backoff_ms = 1000)
network(latency_ms = 1, connect_ms = 1)
dispatchers(300)
regions(["east", "mid", "west"])
site(over_share_worth = 0.1)
backends("m", 580, kind("m20", cores = 20, speed = 1, queue = 0, cancel = "all"))
job_class("batch", standing = 1, work_ms = 250000, aim_ms = 20000, deadline_ms = 1000000, effect = "unsafe")
job_class("urgent", work_ms = 20000, aim_ms = 2300, deadline_ms = 200000, effect = "unsafe", urgent = 1)
quotas(lease_ms = 3000, region_lease_ms = 600000, run_ms = 1000000, urgent_reserve = 60, between_ms = [30, 70, 45])
tenants("greedy", 1, quota = 300, times = 10, job_class = "batch")
tenants("large", 9, quota = 300, job_class = "batch")
tenants("mid", 60, quota = 50, job_class = "batch")
tenants("small", 240, quota = 12, job_class = "batch")
measure(start = 80, end = 200, ramp = 30)
