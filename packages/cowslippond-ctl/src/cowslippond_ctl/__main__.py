"""Entry point for ``python -m cowslippond_ctl``."""

from cowslippond_ctl._program import main

main()
