"""Encoding of planned calls as HTTP/1.1 requests."""

from cowslippond_core import _headers as headers

from cowslippond_standins.load._plan import PlannedCall


def encode_request(call: PlannedCall) -> bytes:
    """Return the encoded request of a call."""
    lines = [f'{call.method} {call.target} HTTP/1.1', f'host: {call.host}']
    if call.deadline_ms > 0:
        lines.append(f'{headers.DEADLINE}: {call.deadline_ms:.0f}')
    if not call.key:
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode()
    body = f'{{"order": "{call.nonce}"}}'
    lines += [
        f'idempotency-key: {call.key}',
        f'{call.caller_header}: {call.caller}',
        'content-type: application/json',
        f'content-length: {len(body)}',
    ]
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n{body}'.encode()
