"""Tests of the value encoding of the table protocol."""

import pytest
from cowslippond_core._dynamo import decode_value, encode_value


@pytest.mark.parametrize('plain', ['text', '', 7, -1, b'\x00\xff', b''])
def test_value_round_trip(plain: str | int | bytes) -> None:
    assert decode_value(encode_value(plain)) == plain
