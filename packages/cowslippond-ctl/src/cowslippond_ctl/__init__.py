"""The operator tool."""

from cowslippond_ctl import _exit_codes, _program

ExitCode = _exit_codes.ExitCode
main = _program.main
