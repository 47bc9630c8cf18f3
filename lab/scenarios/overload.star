# One dispatcher, and for ten seconds more work than the fleet can do.
traffic(length = 30, rate = 110, work_ms = 260)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
burst(start = 10, length = 10, times = 2.2)
