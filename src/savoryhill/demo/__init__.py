"""A whole deployment in one process, with stand-ins for what lies outside."""
