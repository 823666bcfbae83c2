"""What a daemon needs to know of the formats of its platform."""

from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core import Configuration, Dialect, Millis, Vm
from cowslippond_core.workspaces import CredentialFormat
from expression import Result


class PlatformAdapter(NamedTuple):
    """The formats of the platform: decoders, encoders and paths."""

    dialect: Dialect
    credentials: CredentialFormat
    decode_configuration: Callable[[str], Result[Configuration, str]]
    replace_keys: Callable[[str], Result[str, str]]
    decode_upstream: Callable[[str, str], Vm | None]
    encode_retry_after: Callable[[Millis], bytes]
    ready_path: str
