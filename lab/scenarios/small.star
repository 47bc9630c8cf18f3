# A small fleet near what it can do, without load reports.
traffic(length = 30, rate = 42, work_ms = 260)
backends("s", 4, kind("std", cores = 4, speed = 1))
