"""Measurements of sardinebend: policy under load, and the router's own cost."""
