"""Joint placement of generations over the engines of a service, without I/O."""
