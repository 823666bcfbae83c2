"""Entry point of ``python -m cowslippond_daemon``."""

from cowslippond_daemon._program import main

main()
