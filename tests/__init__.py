"""Tests of the load balancer, one folder a part of it; helpers are in `support`."""
