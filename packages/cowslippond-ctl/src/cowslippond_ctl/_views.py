"""Tables for terminal output."""

from collections.abc import Iterable, Sequence

from rich.table import Table as Grid
from rich.text import Text


def grid(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> Grid:
    """Return a table without borders.

    :param columns: the column headings.
    :param rows: the cells of each row, one per column.
    """
    view = Grid(box=None, pad_edge=False, show_edge=False)
    for heading in columns:
        view.add_column(heading, overflow='fold')
    for row in rows:
        # ``Text`` keeps rich from interpreting cells as console markup.
        view.add_row(*(Text(cell) for cell in row))
    return view
