"""Core of a load balancer whose nodes coordinate with each other.

Names are imported lazily, so that a process loads only the modules that it
uses. ``__init__.pyi`` lists the names for type checkers.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
