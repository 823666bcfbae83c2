"""The operator tool."""
