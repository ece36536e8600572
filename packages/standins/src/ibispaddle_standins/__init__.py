"""Stand-ins for the platform and the upstreams, as processes that speak HTTP.

`python -m ibispaddle_standins.NAME --port 0` starts one of `engine`, `service`, `log`, `instances`
and `collector`. The process binds to 127.0.0.1 and prints `{"port": N, "pid": P}` when it listens.
"""
