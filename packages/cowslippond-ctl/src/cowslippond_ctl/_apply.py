"""The ``apply`` command: submit service documents for acceptance."""

import pathlib
from collections.abc import Sequence

from cowslippond_core import (
    ApplyError,
    ApplyFault,
    Clock,
    Finding,
    Overlap,
    Table,
    accept_document,
    read_document,
    read_text_file,
)
from rich.console import RenderableType

from cowslippond_ctl._check import findings_outcome
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import CommandOutcome, Record, fail, record_of
from cowslippond_ctl._times import format_time


class DocumentApplier:
    """Submits service documents to the platform table.

    :param author: recorded in the history as the author of the change.
    :param expected_version: the version that the change is based on;
        ``None`` applies it on top of the newest version.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        author: str,
        expected_version: int | None,
    ) -> None:
        self.table = table
        self.clock = clock
        self.author = author
        self.expected_version = expected_version

    async def apply(self, paths: Sequence[pathlib.Path]) -> CommandOutcome:
        """Apply files in order and stop at the first one that is refused.

        All files are validated before the first one is submitted, so an
        invalid file prevents the whole change.
        """
        texts: list[str] = []
        findings: list[Finding] = []
        for path in paths:
            loaded = read_text_file(path)
            if loaded.is_error():
                findings.append(loaded.error)
                continue
            parsed = read_document(loaded.ok, str(path))
            if parsed.is_error():
                findings.extend(parsed.error)
                continue
            texts.append(loaded.ok)
        if findings:
            return findings_outcome(findings)
        return await self._apply_texts(texts)

    async def _apply_texts(self, texts: Sequence[str]) -> CommandOutcome:
        records: list[Record] = []
        lines: list[RenderableType] = []
        for text in texts:
            answer = await accept_document(
                self.table, text, self.author, self.expected_version, self.clock
            )
            if answer.is_error():
                refusal = _refusal(answer.error)
                record = {**refusal.record, 'accepted': records}
                return CommandOutcome(
                    refusal.code, record, [*lines, *refusal.views]
                )
            accepted = answer.ok
            records.append(record_of(accepted))
            lines.append(
                f'{accepted.service}: version {accepted.version} accepted '
                f'(revision {accepted.revision})'
            )
        return CommandOutcome(ExitCode.DONE, {'accepted': records}, lines)


def _refusal(error: ApplyError) -> CommandOutcome:
    match error.fault:
        case ApplyFault.INVALID:
            return findings_outcome(error.findings)
        case ApplyFault.OVERLAP:
            return _overlap_refusal(error)
        case ApplyFault.UNREADABLE:
            return _unreadable_refusal(error)
        case ApplyFault.CONFLICT:
            return _conflict_refusal(error)
        case ApplyFault.UNKNOWN:
            return _unknown_outcome(error)
        case ApplyFault.CONTENTION:
            message = (
                'not accepted: other services changed at every try; apply again'
            )
            return fail(ExitCode.CONFLICT, 'contention', message)
        case ApplyFault.UNAVAILABLE:
            message = (
                'not accepted: the platform table cannot be reached '
                f'({error.detail}); apply again later'
            )
            return fail(ExitCode.UNAVAILABLE, 'unavailable', message)


def _overlap_refusal(error: ApplyError) -> CommandOutcome:
    lines = [_overlap_line(overlap) for overlap in error.overlaps]
    record = {
        'fault': 'overlap',
        'overlaps': [
            {
                **overlap.match._asdict(),
                'service': overlap.service,
                'reason': overlap.reason,
            }
            for overlap in error.overlaps
        ],
    }
    return CommandOutcome(ExitCode.CONFLICT, record, lines)


def _overlap_line(overlap: Overlap) -> str:
    host, prefix = overlap.match
    return (
        f'not accepted: match {host}{prefix} conflicts with service '
        f'{overlap.service}: {overlap.reason}'
    )


def _unreadable_refusal(error: ApplyError) -> CommandOutcome:
    newest = error.newest
    name = f'{newest.service} version {newest.version}' if newest else ''
    message = (
        f'not accepted: this release cannot read {name}, so it cannot tell '
        'whether both claim the same calls; use the newest cowslippondctl'
    )
    return fail(ExitCode.CONFLICT, 'unreadable', message)


def _conflict_refusal(error: ApplyError) -> CommandOutcome:
    newest = error.newest
    if newest is None:
        message = 'not accepted: the service has no version yet'
        return fail(ExitCode.CONFLICT, 'conflict', message)
    message = (
        f'not accepted: {newest.author} changed {newest.service} to version '
        f'{newest.version} at {format_time(newest.accepted_at)}; look at it '
        f'with "cowslippondctl diff", then apply with '
        f'--expected-version {newest.version}'
    )
    record = {'fault': 'conflict', 'newest': record_of(newest)}
    return CommandOutcome(ExitCode.CONFLICT, record, [message])


def _unknown_outcome(error: ApplyError) -> CommandOutcome:
    revisions = ', '.join(str(revision) for revision in error.revisions)
    message = (
        f'unknown: the answers of the platform table were lost '
        f'({error.detail}). The change may be accepted, now or late, as '
        f'revision {revisions}. Run "cowslippondctl history SERVICE": it was '
        f'accepted if a row shows token {error.token}, and never will be if '
        f'that revision shows another token'
    )
    record = {
        'fault': 'unknown',
        'revisions': error.revisions,
        'token': error.token,
        'message': message,
    }
    return CommandOutcome(ExitCode.UNKNOWN, record, [message])
