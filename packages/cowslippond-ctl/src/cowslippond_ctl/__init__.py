"""The operator tool."""

from cowslippond_ctl._exit_codes import ExitCode as ExitCode
from cowslippond_ctl._program import main as main
