# Other programs take half to three quarters of four machines, on and off.
traffic(length = 30, rate = 85, work_ms = 260)
dispatchers(2)
reports(delay_ms = 2500)
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
for k in range(6):
    at(4 + 4 * k, f[:2] + s[:2], "neighbour", part = 0.5 + 0.04 * k)
    at(6 + 4 * k, f[:2] + s[:2], "well")
