"""Joint placement of generations on the engines of a service, without I/O."""
