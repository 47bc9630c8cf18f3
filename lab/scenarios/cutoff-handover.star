# Nine dispatchers; one of them is cut off just as the fleet has stopped for a change: its lease is waited out.
traffic(length = 40, rate = 180, work_ms = 260, aim_ms = 250, retries = 6, backoff_ms = 100)
dispatchers(9)
reports()
backends("f", 10, kind("fast", cores = 4, speed = 1.5))
backends("s", 14, kind("std", cores = 4, speed = 1))
accord(lease_ms = 3000, when_cut = "stop")
cut(start = 16.016, length = 10, dispatchers = [8])
change(start = 16, dispatcher = 0)
