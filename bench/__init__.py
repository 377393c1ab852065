"""Benchmarks of sardinebend: policies under load, and the cost of a host."""
