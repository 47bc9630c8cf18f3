# Two backends freeze for six seconds and wake again; nobody says so.
traffic(length = 30, rate = 75, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
at(8, [f[0], s[0]], "freeze")
at(14, [f[0], s[0]], "well")
