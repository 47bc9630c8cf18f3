# A calm evening: twelve backends of two kinds at about half of what they can do, two dispatchers.
traffic(length = 30, rate = 85, work_ms = 260)
dispatchers(2)
reports()
fast = kind("fast", cores = 4, speed = 1.5)
std = kind("std", cores = 4, speed = 1)
backends("f", 5, fast)
backends("s", 7, std)
