"""Findings about one text, collected while its fields are checked."""

from cowslippond_core._findings import Finding, Location
from cowslippond_core._jsonc_tree import JsonNode


class FieldReport:
    """The findings about a text, and the location of each of its fields.

    :param file: the name of the file, for findings.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.locations: dict[str, Location] = {}

    def has_field(self, path: str) -> bool:
        """Return whether the text contains a field."""
        return path in self.locations

    def is_valid(self, path: str) -> bool:
        """Return whether a field and those inside it have no findings."""
        inner_prefixes = (f'{path}.', f'{path}[')
        return not any(
            finding.location.path == path
            or finding.location.path.startswith(inner_prefixes)
            for finding in self.findings
        )

    def record_location(self, path: str, node: JsonNode) -> None:
        """Record the location of a field."""
        self.locations[path] = Location(self.file, node.line, node.column, path)

    def add_at(self, path: str, line: int, column: int, message: str) -> None:
        """Add a finding at a location that has no known field."""
        location = Location(self.file, line, column, path)
        self.findings.append(Finding(location, message))

    def add(self, path: str, message: str) -> None:
        """Add a finding about a field that may be missing from the text."""
        location = self._nearest_location(path)._replace(path=path)
        self.findings.append(Finding(location, message))

    def _nearest_location(self, path: str) -> Location:
        """Return the location of a field, or of its nearest existing parent."""
        enclosing = path
        while enclosing and enclosing not in self.locations:
            enclosing, _, _ = enclosing.rpartition('.')
        return self.locations[enclosing]
