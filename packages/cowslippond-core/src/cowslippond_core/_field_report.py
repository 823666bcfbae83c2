"""Collects the findings about one text while its fields are checked."""

from cowslippond_core._findings import Finding, Place
from cowslippond_core._jsonc_tree import JsonNode


class FieldReport:
    """The findings about a text, and where each field of it stands.

    :param file: the name of the file, for findings.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.places: dict[str, Place] = {}

    def has_field(self, path: str) -> bool:
        """Say whether the text itself states a field."""
        return path in self.places

    def is_valid(self, path: str) -> bool:
        """Say whether no finding concerns a field or one inside it."""
        inside = (f'{path}.', f'{path}[')
        return not any(
            found.place.path == path or found.place.path.startswith(inside)
            for found in self.findings
        )

    def record(self, path: str, node: JsonNode) -> None:
        """Remember where a field stands."""
        self.places[path] = Place(self.file, node.line, node.column, path)

    def add_at(self, path: str, line: int, column: int, message: str) -> None:
        """Add a finding at a place that holds no field."""
        place = Place(self.file, line, column, path)
        self.findings.append(Finding(place, message))

    def add(self, path: str, message: str) -> None:
        """Add a finding about a field, stated or not."""
        place = self._nearest(path)._replace(path=path)
        self.findings.append(Finding(place, message))

    def _nearest(self, path: str) -> Place:
        """Return the place of a field or of the object that would hold it."""
        outer = path
        while outer and outer not in self.places:
            outer, _, _ = outer.rpartition('.')
        return self.places[outer]
