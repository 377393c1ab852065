"""Stand-ins for external systems, run as small processes in tests."""
