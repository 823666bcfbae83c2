"""The ``check`` command: validate documents without submitting them."""

import pathlib
from collections.abc import Sequence

from cowslippond_core import (
    Finding,
    ServiceDocument,
    format_finding,
    read_document,
    read_text_file,
)
from expression import Error, Result

from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import CommandOutcome, Record


def check_files(paths: Sequence[pathlib.Path]) -> CommandOutcome:
    """Validate documents and report the findings of all files together."""
    findings: list[Finding] = []
    services: list[str] = []
    lines: list[str] = []
    for path in paths:
        loaded = read_document_file(path)
        if loaded.is_error():
            findings.extend(loaded.error)
            continue
        services.append(loaded.ok.service)
        lines.append(f'{path}: ok')
    if findings:
        return findings_outcome(findings)
    record = {'findings': [], 'services': services}
    return CommandOutcome(ExitCode.DONE, record, lines)


def read_document_file(
    path: pathlib.Path,
) -> Result[ServiceDocument, tuple[Finding, ...]]:
    """Read and validate a document file.

    Returns the document, or all findings if it is invalid.
    """
    loaded_text = read_text_file(path)
    if loaded_text.is_error():
        return Error((loaded_text.error,))
    return read_document(loaded_text.ok, str(path))


def findings_outcome(findings: Sequence[Finding]) -> CommandOutcome:
    """Return the outcome of a command whose input files are invalid."""
    record = {
        'fault': 'invalid',
        'findings': [_finding_record(finding) for finding in findings],
    }
    lines = [format_finding(finding) for finding in findings]
    return CommandOutcome(ExitCode.FAULTY, record, lines)


def _finding_record(finding: Finding) -> Record:
    return {**finding.location._asdict(), 'message': finding.message}
