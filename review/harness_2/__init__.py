"""Stand-ins and helpers of the second review's cases; they need the standard library alone."""
