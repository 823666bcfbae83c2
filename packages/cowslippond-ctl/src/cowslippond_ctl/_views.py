"""Tables for a terminal."""

from collections.abc import Iterable, Sequence

from rich.table import Table as Grid
from rich.text import Text


def grid(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> Grid:
    """Return a table with plain lines.

    :param columns: the headings.
    :param rows: the cells, as many as headings in each row.
    """
    view = Grid(box=None, pad_edge=False, show_edge=False)
    for heading in columns:
        view.add_column(heading, overflow='fold')
    for row in rows:
        # Cells are shown as they are, without the markup of the library.
        view.add_row(*(Text(cell) for cell in row))
    return view
