"""The state that the policy keeps. Nothing here makes decisions."""
