# Two backends fail nine of ten jobs at once, and a neighbour takes half of two others, on and off.
traffic(length = 30, rate = 75, work_ms = 260)
dispatchers(2)
reports()
f = backends("f", 5, kind("fast", cores = 4, speed = 1.5))
s = backends("s", 7, kind("std", cores = 4, speed = 1))
at(6, [f[0], s[0]], "errors", part = 0.9)
at(20, [f[0], s[0]], "well")
for t in range(5, 25, 5):
    at(t, [f[1], s[1]], "neighbour", part = 0.5)
    at(t + 2.5, [f[1], s[1]], "well")
