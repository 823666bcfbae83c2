from ._program import main as main
