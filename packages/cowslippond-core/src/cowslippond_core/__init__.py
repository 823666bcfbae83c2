"""Coordination parts of a load balancer whose nodes act together.

The names are imported when they are first used, so that a process holds only
the parts that it runs. ``__init__.pyi`` lists them for type checkers.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
