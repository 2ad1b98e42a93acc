"""Tests of the proxy on real loopback connections."""
