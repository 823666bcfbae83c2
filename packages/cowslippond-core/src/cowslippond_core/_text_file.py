"""Read a text file that the operator specified."""

import pathlib

from expression import Error, Ok, Result

from cowslippond_core._findings import Finding, Location


def read_text_file(path: pathlib.Path) -> Result[str, Finding]:
    """Return the text of a file, or a finding if it cannot be read.

    :param path: the file, in UTF-8 with or without a byte order mark.
    """
    location = Location(str(path), 1, 1, '')
    try:
        text = path.read_text(encoding='utf-8-sig')
    except UnicodeDecodeError:
        return Error(Finding(location, 'is not UTF-8 text'))
    except OSError as error:
        reason = error.strerror or repr(error)
        return Error(Finding(location, f'cannot be read: {reason}'))
    return Ok(text)
