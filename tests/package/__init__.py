"""Tests of the package's layout and limits."""
