"""Adapter that translates the platform's formats to this project's types."""

from cowslippond_daemon.platform._configuration import (
    decode_configuration as decode_configuration,
)
from cowslippond_daemon.platform._credentials import (
    PlatformCredentials as PlatformCredentials,
)
from cowslippond_daemon.platform._dialect import (
    PlatformDialect as PlatformDialect,
)
from cowslippond_daemon.platform._entries import decode_entry as decode_entry
from cowslippond_daemon.platform._operator_keys import (
    operator_key as operator_key,
)
from cowslippond_daemon.platform._settings import READY_PATH as READY_PATH
from cowslippond_daemon.platform._settings import (
    read_node_settings as read_node_settings,
)
from cowslippond_daemon.platform._store import Store as Store
from cowslippond_daemon.platform._store import TableReader as TableReader
from cowslippond_daemon.platform._workspaces import (
    replace_keys as replace_keys,
)
