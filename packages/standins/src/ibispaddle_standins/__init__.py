"""Stand-ins for the platform and the upstreams, for tests."""
