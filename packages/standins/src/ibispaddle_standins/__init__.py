"""Simulated HTTP servers that replace the platform and the upstreams in tests.

`python -m ibispaddle_standins.NAME --port 0` starts one of `engine`, `service`, `log`, `instances`,
`collector`, `platform_runner` and `platform_store`. The process binds to 127.0.0.1 and prints a
JSON line such as `{"port": N, "tls_port": T, "pid": P}` to standard output once it is listening.
"""
