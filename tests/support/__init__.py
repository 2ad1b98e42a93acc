"""Test helpers: a policy harness, fake servers, clients, a fleet model and a rule checker."""
