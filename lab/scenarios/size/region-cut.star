# Three regions of a hundred dispatchers; the clients of each come to its own. The first region is cut off from the accord's
# leader for five minutes, and a minute into that a change is made elsewhere. Jobs are shorter than the coming size's, so that a
# play ends; as many begin each second.
traffic(length = 420, rate = 36, retries = 0, backoff_ms = 100)
network(latency_ms = 1, connect_ms = 1)
dispatchers(300)
regions(["east", "mid", "west"])
backends("m", 580, kind("m16", cores = 16, speed = 1, queue = 0, cancel = "all"))
job_class("batch", work_ms = 10000, aim_ms = 20000, deadline_ms = 60000, effect = "unsafe")
accord(lease_ms = 3000, when_cut = "stop", latency_ms = 35)
cut(start = 60, length = 300, region = "east")
change(start = 120, dispatcher = 150)
