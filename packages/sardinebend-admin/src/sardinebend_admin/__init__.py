"""The operator command."""
