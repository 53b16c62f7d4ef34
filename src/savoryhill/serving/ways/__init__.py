"""Ways to endpoints: connections, and what is known of which nodes reach which."""
