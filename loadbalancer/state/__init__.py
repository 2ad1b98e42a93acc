"""State that the decisions keep: it stores and decides nothing."""
