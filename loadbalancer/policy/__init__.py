"""The policy of one proxy (interface types: loadbalancer/messages.py)."""
