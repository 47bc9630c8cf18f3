# Every call of the settings script with its defaults. `tinsail check --settings FILE` reads one
# and starts nothing; docs/settings.md is the reference. The platform at regina-main offers no
# further listener: there, no script is given and all of this stays off.

host = "127.0.0.1"

http2(
    listen = host + ":8082",
    max_streams = 128,
    max_header_bytes = 16 * 1024,
    max_frame_bytes = 16 * 1024,
    on_reset = "stop",
    stall_ms = 5000,
    drain_ms = 300,
)

consul(
    address = ["127.0.0.1:8500"],
    service = "photo-workers",
    tags = [],
    filter = "",
    scheme = "http",
    dc = "",
    namespace = "",
    partition = "",
    token_file = "",
    token_env = "",
    ca_file = "",
    cert_file = "",
    key_file = "",
    stale = True,
    max_stale_ms = 10000,
    wait_ms = 30000,
    timeout_ms = 3000,
    max_body_kb = 16384,
    max_entries = 100000,
    calls_per_s = 10,
    kind_meta = "kind",
    zone_meta = "zone",
    group_meta = "group",
    weight_meta = "weight",
    started_meta = "started_ms",
    register = "",
    register_check = "ttl",
    register_ttl_ms = 15000,
)

backends(
    director = True,
    static = [],
    static_weight = 4,
)

member_rules(
    doubt_ms = 2000,
    hold_ms = 300000,
    panic_percent = 50,
    panic_window_ms = 10000,
    panic_hold_ms = 60000,
    flaps = 3,
    flap_window_ms = 30000,
    settle_ms = 10000,
    warning_drains = False,
)

budgets(
    connections = 600,
    most = 0,
    reserve = 0.2,
    keeper = "n0",
    keeper_at = host + ":9400",
    lease_ms = 3000,
    drift = 0.001,
)

policy(
    connections = 600,
    most = 0,
    reserve = 0.2,
    bans = [],
    quotas = {},  # {"atelier": 400, "press": 30}: tenants of the configuration
    urgent_reserve = 0,  # 20, with quotas
    urgent_classes = [],  # ["express"]: classes of the configuration
    run_ms = 0,  # 60 * 1000, must be set with quotas
)

accord(
    voters = ["n0=" + host + ":9401", "n1=" + host + ":9402", "n2=" + host + ":9403"],
    listen = "",
    lease_ms = 3000,
    drift = 0.001,
    when_cut = "stop",
    data = "/var/lib/tinsail/accord",
)

quotas(
    region = "east",
    lenders = ["east=n0", "west=n1", "north=n2"],
    lease_ms = 3000,
    region_lease_ms = 600 * 1000,
)
