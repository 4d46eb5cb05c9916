"""Stand-ins for the platform, its store, workers and network, for tests and benchmarks."""
