"""The serving process of a node: it forwards client requests to endpoints."""
