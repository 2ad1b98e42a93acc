"""An HTTP load balancer that runs as a group of proxies; `Balancer` is the policy of one of them."""

from loadbalancer.policy.balancer import Balancer

__all__ = ["Balancer"]
