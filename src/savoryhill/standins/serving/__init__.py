"""HTTP stand-ins for the platform's metadata store and for endpoints."""
