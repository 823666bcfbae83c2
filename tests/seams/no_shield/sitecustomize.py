"""Cancel a claimed call when its caller leaves."""

import anyio

_scope = anyio.CancelScope


def _unshielded(*args, **options):
    options.pop('shield', None)
    return _scope(*args, **options)


from cowslippond_core import _claim_flow  # noqa: E402

_claim_flow.anyio = type('Unshielded', (), dict(vars(anyio)))
_claim_flow.anyio.CancelScope = staticmethod(_unshielded)
