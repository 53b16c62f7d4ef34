"""Stand-ins of the platform's metadata store and of its endpoints, over HTTP."""
