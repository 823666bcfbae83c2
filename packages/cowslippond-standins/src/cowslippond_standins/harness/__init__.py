"""Start, fault and stop the processes of a whole deployment."""
