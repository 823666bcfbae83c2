"""Collects the findings about one text while its fields are checked."""

from cowslippond_core._findings import Finding, Location
from cowslippond_core._jsonc_tree import JsonNode


class FieldReport:
    """The findings about a text, and where each field of it stands.

    :param file: the name of the file, for findings.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.locations: dict[str, Location] = {}

    def has_field(self, path: str) -> bool:
        """Say whether the text itself states a field."""
        return path in self.locations

    def is_valid(self, path: str) -> bool:
        """Say whether no finding concerns a field or one inside it."""
        inner_prefixes = (f'{path}.', f'{path}[')
        return not any(
            finding.location.path == path
            or finding.location.path.startswith(inner_prefixes)
            for finding in self.findings
        )

    def record_location(self, path: str, node: JsonNode) -> None:
        """Remember where a field stands."""
        self.locations[path] = Location(self.file, node.line, node.column, path)

    def add_at(self, path: str, line: int, column: int, message: str) -> None:
        """Add a finding at a place that holds no field."""
        location = Location(self.file, line, column, path)
        self.findings.append(Finding(location, message))

    def add(self, path: str, message: str) -> None:
        """Add a finding about a field, stated or not."""
        location = self._nearest_location(path)._replace(path=path)
        self.findings.append(Finding(location, message))

    def _nearest_location(self, path: str) -> Location:
        """Return the place of a field or of the object that would hold it."""
        enclosing = path
        while enclosing and enclosing not in self.locations:
            enclosing, _, _ = enclosing.rpartition('.')
        return self.locations[enclosing]
