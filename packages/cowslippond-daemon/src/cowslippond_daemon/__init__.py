"""The load balancer daemon."""

from cowslippond_daemon._program import main as main
