"""A soak test: real balancer processes under seeded faults, checked against the rules of the service.

python -m tests.soak --seeds 1-60 --jobs 3 --json soak.json
"""
