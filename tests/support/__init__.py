"""Helpers of the tests: a harness of the policy, stand-ins of other servers, clients."""
