# Many dispatchers before backends of two kinds whose sizes are not told: six slots that are somewhat slow, two that are fast. Deadlines under 1 s.
traffic(length = 15, rate = 1280, retries = 1, backoff_ms = 24)
network(latency_ms = 0.2, connect_ms = 0.6)
dispatchers(40)
site(weights = "none", progress = 0.2, worth_by = "req", guess = 0.5, whole = 0.6, worst_window = 0.15, worst_class = 0.1,
     start_capacity = 0.4, warm_after = 5, fall_multiple = 5, connect_ms = 60)
job_class("proof", share = 35, work_ms = 60, spread = 0.35, noise = 0.15, aim_ms = 150, stretch = 1.5, deadline_ms = 800, worth = 1, effect = "safe")
job_class("stamp", share = 30, work_ms = 37, spread = 0.35, noise = 0.15, aim_ms = 100, stretch = 2, deadline_ms = 600, worth = 2, effect = "keyed")
job_class("print", share = 25, work_ms = 85, spread = 0.35, noise = 0.15, aim_ms = 250, stretch = 1.5, deadline_ms = 900, worth = 4, wide = 0.2, effect = "unsafe")
job_class("ledger", share = 10, work_ms = 30, spread = 0.35, noise = 0.15, aim_ms = 200, stretch = 3, deadline_ms = 700, worth = 3, effect = "keyed")
backends("a", 12, kind("six", cores = 6, speed = 1.05, slots = 6, queue = 21, thrash = 0.2, handshake_ms = 1.5), vary = 0.1)
backends("b", 12, kind("two", cores = 2, speed = 1.35, slots = 2, queue = 8, thrash = 0, handshake_ms = 1.5), vary = 0.1)
