"""Tests of the scale test: its command, its parts and the slopes."""
