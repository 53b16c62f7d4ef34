"""Stand-ins of clients, endpoints and the platform's store for the second review.

They use the standard library only, and speak what the platform's PROTOCOL.md says.
"""
