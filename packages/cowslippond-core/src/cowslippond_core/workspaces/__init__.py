"""Workspaces: whose calls a daemon serves, and how urgent they are."""

from cowslippond_core.workspaces._workspace import Workspace as Workspace
