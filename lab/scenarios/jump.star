# The rate jumps to 2.5 times for eight seconds.
load_rate = 75
traffic(length = 30, rate = load_rate, work_ms = 260)
dispatchers(2)
reports()
backends("f", 5, kind("fast", cores = 4, speed = 1.5))
backends("s", 7, kind("std", cores = 4, speed = 1))
burst(start = 10, length = 8, times = 2.5)
