"""Run the operator tool by ``python -m cowslippond_ctl``."""

from cowslippond_ctl._program import main

main()
