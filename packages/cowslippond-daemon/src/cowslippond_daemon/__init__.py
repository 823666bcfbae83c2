"""The load balancer daemon."""
