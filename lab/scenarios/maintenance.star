# Operators take two backends out, restart them and call them back; meanwhile the director says that they are ready.
traffic(length = 30, rate = 75, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
out = [f[0], s[0]]
at(5, out, "ban")
at(7, out, "list")
at(9, out, "kill")
at(10, out, "start")
at(12, out, "list")
at(12.5, out, "lift")
