"""loadbalancer: the decisions of an HTTP load balancer run as a bank of proxies."""

from loadbalancer.policy.balancer import Balancer

__all__ = ["Balancer"]
