# Half of the fleet is listed as it starts, cold.
traffic(length = 20, rate = 85, work_ms = 260)
dispatchers(3)
reports()
fast = kind("fast", cores = 4, speed = 1.5)
backends("f", 3, fast)
backends("s", 3, kind("std", cores = 4, speed = 1))
backends("c", 6, fast, cold = 1)
