# A group runs nine times slower for fifteen seconds.
traffic(length = 30, rate = 85, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
at(8, f[:1] + s[:2], "slow", times = 9)
at(23, f[:1] + s[:2], "well")
