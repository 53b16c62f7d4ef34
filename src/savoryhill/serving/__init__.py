"""The serving path of a node on the platform."""
