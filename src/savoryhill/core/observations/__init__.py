"""What nodes observe of endpoints and tell each other."""
