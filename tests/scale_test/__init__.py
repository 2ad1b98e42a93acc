"""Tests of the scale test: its command, its modules and the slopes."""
