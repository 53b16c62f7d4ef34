"""Which endpoints a node reaches, and through which other nodes it reaches the rest."""
