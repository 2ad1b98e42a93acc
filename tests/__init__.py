"""Tests of the load balancer, one folder per part; helpers are in `support`."""
