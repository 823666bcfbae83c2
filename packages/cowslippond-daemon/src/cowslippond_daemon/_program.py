"""The command line of the daemon."""

import os
import pathlib
import sys
from collections.abc import Mapping

import anyio
import defopt
from cowslippond_core import (
    Finding,
    Settings,
    format_finding,
    read_settings,
    read_text_file,
)
from expression import Error, Result

from cowslippond_daemon._daemon import Daemon
from cowslippond_daemon._logs import configure_logs

#: The exit code for settings that cannot be used.
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run the ``cowslippond`` command."""
    sys.exit(defopt.run(_run))


def _run(
    *,
    settings: pathlib.Path,
    check: bool = False,
    vm: str | None = None,
    failure_domain: str | None = None,
    caller_address: str | None = None,
    admin_address: str | None = None,
    peer_address: str | None = None,
) -> int:
    """Run the load balancer for the services in force.

    :param settings: settings file, JSON with comments.
    :param check: validate the settings, print the findings and exit.
    :param vm: name of this VM; overrides the settings file.
    :param failure_domain: failure domain of this VM; overrides the file.
    :param caller_address: address for callers; overrides the file.
    :param admin_address: address for health checks and status; overrides the
        file.
    :param peer_address: address for other daemons; overrides the file.
    """
    options = {
        'vm': vm,
        'failure_domain': failure_domain,
        'caller_address': caller_address,
        'admin_address': admin_address,
        'peer_address': peer_address,
    }
    overrides = {name: text for name, text in options.items() if text}
    match _load_settings(settings, overrides):
        case Result(tag='ok', ok=loaded):
            return 0 if check else _serve(loaded)
        case Result(error=findings):
            for finding in findings:
                sys.stderr.write(f'{format_finding(finding)}\n')
    return EXIT_BAD_SETTINGS


def _load_settings(
    path: pathlib.Path, overrides: Mapping[str, str]
) -> Result[Settings, tuple[Finding, ...]]:
    text = read_text_file(path)
    if text.is_error():
        return Error((text.error,))
    return read_settings(text.ok, str(path), overrides)


def _serve(settings: Settings) -> int:
    configure_logs(settings.log.format, settings.log.level)
    # libuv, under the event loop, must not use io_uring.
    os.environ['UV_USE_IO_URING'] = '0'
    anyio.run(Daemon(settings).run, backend_options={'use_uvloop': True})
    return 0
