# A day of the coming size with its failures in ten minutes, with quotas lent in levels: a zone of backends lost, one region cut off
# for five minutes, two regions that lose each other while both reach the third, lenders and the root killed, 24 changes
# of quotas and 19 restarts of dispatchers (of a day's 240 and 190: a tenth, in a 144th of the time), two of them by a crash.
traffic(length = 700, rate = 3.6, retries = 100, backoff_ms = 1000)
network(latency_ms = 1, connect_ms = 1)
dispatchers(300)
regions(["east", "mid", "west"])
m = backends("m", 580, kind("m20", cores = 20, speed = 1, queue = 0, cold = 0, cancel = "all"))
job_class("batch", standing = 1, work_ms = 250000, aim_ms = 20000, deadline_ms = 1000000, effect = "unsafe")
job_class("urgent", work_ms = 20000, aim_ms = 2300, deadline_ms = 200000, effect = "unsafe", urgent = 1)
quotas(lease_ms = 3000, region_lease_ms = 600000, run_ms = 1000000, urgent_reserve = 60, between_ms = [30, 70, 45], loss = 0.001)
tenants("greedy", 1, quota = 300, times = 10, job_class = "batch")
tenants("large", 9, quota = 300, job_class = "batch")
tenants("mid", 60, quota = 50, job_class = "batch")
tenants("small", 240, quota = 12, job_class = "batch")
measure(start = 80, end = 700, ramp = 30)
sever(start = 150, length = 300, region = "east")
sever(start = 560, length = 60, region = "mid", other = "west")
crash(start = 500, down = 2, lender = "west")
crash(start = 640, down = 5, to = "mid")
at(110, m[:72], "kill")
at(140, m[:72], "start")
for i in range(19):
    restart(start = 90 + 30 * i, dispatcher = 15 * i + 7, down = 1, notice = 0, orderly = 0 if i in [5, 11] else 1)
for i in range(24):
    requota("mid%d" % (i % 8 + 1), start = 100 + 24 * i, quota = 40 if i % 16 < 8 else 50)
