# Two classes, nearly half of the jobs to be run once, no load reports and no sizes told: twelve backends of three kinds and more work than they can do, some of it heavy.
traffic(length = 50, rate = 40, retries = 1, backoff_ms = 60)
network(latency_ms = 0.2, connect_ms = 0.8)
dispatchers(2)
site(weights = "none", progress = 1, worth_by = "work", guess = 0.5, whole = 0.55, worst_window = 0.1, worst_class = 0.35,
     start_capacity = 0.34, warm_after = 8.9, fall_multiple = 4, connect_ms = 250)
job_class("window", share = 52, work_ms = 585, spread = 0.5, noise = 0.3, aim_ms = 250, stretch = 1.75, deadline_ms = 7500, worth = 5, effect = "safe")
job_class("report", share = 48, work_ms = 2350, spread = 0.5, noise = 0.3, aim_ms = 1000, stretch = 1.75, deadline_ms = 25000, worth = 8, wide = 0.2, effect = "unsafe")

def fleet_kind(name, cores, speed, slots, queue, cancel, pause_ms):
    return kind(name, cores = cores, speed = speed, slots = slots, queue = queue, cold_from = 0.46, cold = 6, thrash = 0.3, handshake_ms = 4.2,
                fall_multiple = 4, pause_every = 6, pause_ms = pause_ms, cancel = cancel)

backends("b", 4, fleet_kind("big", 5, 2.0, 5, 0, "queued", 70), vary = 0.12)
backends("m", 4, fleet_kind("mid", 4, 1.2, 4, 0, "none", 115), vary = 0.12)
backends("o", 4, fleet_kind("old", 4, 0.8, 5, 0, "queued", 75), vary = 0.14)
heavy(start = 15, length = 20, name = "window", part = 0.015, times = 15)
burst(start = 30, length = 8, times = 1.3)
