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
