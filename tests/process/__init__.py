"""Tests of the program as a process: configuration, reload, signals, start-up, logging."""
