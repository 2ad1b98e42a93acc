"""The decisions of one proxy (interface types: loadbalancer/messages.py)."""
