"""Command-line tool for operators of the load balancer."""

from cowslippond_ctl._exit_codes import ExitCode as ExitCode
from cowslippond_ctl._program import main as main
