# Two classes, nearly half of the jobs to be run once, no load reports and no sizes told: fourteen backends of three kinds; the only dispatcher is restarted twice while some are slow and more pause.
traffic(length = 50, rate = 36, retries = 1, backoff_ms = 60)
network(latency_ms = 0.2, connect_ms = 0.8)
dispatchers(1)
site(weights = "none", progress = 1, worth_by = "work", guess = 0.5, whole = 0.55, worst_window = 0.1, worst_class = 0.35,
     start_capacity = 0.34, warm_after = 8.9, fall_multiple = 4, connect_ms = 250)
job_class("window", share = 52, work_ms = 585, spread = 0.5, noise = 0.3, aim_ms = 250, stretch = 1.75, deadline_ms = 7500, worth = 5, effect = "safe")
job_class("report", share = 48, work_ms = 2350, spread = 0.5, noise = 0.3, aim_ms = 1000, stretch = 1.75, deadline_ms = 25000, worth = 8, wide = 0.2, effect = "unsafe")

def fleet_kind(name, cores, speed, slots, queue, cancel, pause_ms):
    return kind(name, cores = cores, speed = speed, slots = slots, queue = queue, cold_from = 0.46, cold = 6, thrash = 0.3, handshake_ms = 4.2,
                fall_multiple = 4, pause_every = 6, pause_ms = pause_ms, cancel = cancel)

b = backends("b", 5, fleet_kind("big", 5, 2.0, 5, 3, "queued", 70), vary = 0.12)
m = backends("m", 5, fleet_kind("mid", 4, 1.2, 4, 2, "none", 115), vary = 0.12)
o = backends("o", 4, fleet_kind("old", 4, 0.8, 5, 2, "queued", 75), vary = 0.14)
at(8, b[3:] + m[1:3] + o[:2], "pauses", every = 2, ms = 170)
at(12, b[:1] + m[:1] + o[3:], "slow", times = 8.5)
at(34, b[:1] + m[:1] + o[3:], "well")
at(38, b[3:] + m[1:3] + o[:2], "well")
restart(start = 16, down = 0.8, notice = 2.5)
restart(start = 30, down = 1.2, notice = 2.5)
stale(start = 10, length = 20, by = 6)
