"""Tests of the package's layout, imports, source limits and documentation."""
