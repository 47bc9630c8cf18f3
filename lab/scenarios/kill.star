# Three backends die; the director says so three seconds later, and lists them again when they are back, cold.
traffic(length = 30, rate = 75, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
dead = f[:1] + s[:2]
at(6, dead, "kill")
at(6, dead, "unlist", heard = 3)
at(12, dead, "start")
at(12, dead, "list", heard = 1)
