# A rolling deploy: eight of twelve backends are drained and come back cold, one after the other.
traffic(length = 40, rate = 75, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
deploy(f[:3] + s[:5], start = 5, every = 3.5, drain = 3, heard = 1)
