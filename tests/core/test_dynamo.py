"""Tests of the table protocol's value encoding."""

import pytest
from cowslippond_core._dynamo import decode_value, encode_value


@pytest.mark.parametrize('plain', ['text', '', 7, -1, b'\x00\xff', b''])
def test_value_survives_encoding(plain: str | int | bytes) -> None:
    assert decode_value(encode_value(plain)) == plain
