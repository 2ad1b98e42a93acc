"""Tests of the load balancer, one folder per component; shared helpers are in `support`."""
