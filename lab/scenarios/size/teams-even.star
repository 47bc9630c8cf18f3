# The size that is coming: 300 dispatchers, 580 backends, 310 teams whose jobs run for 250 s, so that some 9,100 run at once and
# 36 begin each second. Each wants just its quota, and comes to all dispatchers.
traffic(length = 800, rate = 1.2, retries = 100, backoff_ms = 1000)
network(latency_ms = 1, connect_ms = 1)
dispatchers(300)
regions(["east", "mid", "west"])
site(over_share_worth = 0.1)
backends("m", 580, kind("m16", cores = 16, speed = 1, queue = 0, cancel = "all"))
job_class("batch", standing = 1, work_ms = 250000, aim_ms = 20000, deadline_ms = 1000000, effect = "unsafe")
job_class("urgent", work_ms = 60000, aim_ms = 2300, deadline_ms = 600000, effect = "unsafe", urgent = 1)
tenants("large", 10, quota = 300, job_class = "batch")
tenants("mid", 60, quota = 50, job_class = "batch")
tenants("small", 240, quota = 12, job_class = "batch")
measure(start = 400, end = 800, ramp = 60)
