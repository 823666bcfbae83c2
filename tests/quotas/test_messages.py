"""The datagrams between daemons."""

import pytest
from cowslippond_core._codec import WireError
from cowslippond_core.quotas import (
    QuotaAnswer,
    QuotaMessage,
    QuotaRequest,
    QuotaReturn,
)
from cowslippond_core.quotas._messages import (
    decode_quota_message,
    encode_quota_message,
)


class TestMessages:
    @pytest.mark.parametrize(
        'message',
        [
            QuotaRequest(5, 'shop é', 3),
            QuotaAnswer(5, 2, 100, 77),
            QuotaReturn('shop', 1, 77),
        ],
    )
    def test_message_arrives_as_sent(self, message: QuotaMessage) -> None:
        assert decode_quota_message(encode_quota_message(message)) == message

    @pytest.mark.parametrize(
        'packed',
        [
            b'',
            b'[',
            b'7',
            b'{"q":1}',
            b'["q",1,"shop"]',
            b'["q",-1,"shop",1]',
            b'["q",1,7,1]',
            b'["a",1,2,3]',
            b'["z",1,2,3]',
            b'["r","shop",1,"x"]',
            b'["q",1,"%b",1]' % (b'x' * 600),
        ],
    )
    def test_invalid_datagram_is_told(self, packed: bytes) -> None:
        with pytest.raises(WireError):
            decode_quota_message(packed)

    def test_fields_of_a_later_release_are_ignored(self) -> None:
        assert decode_quota_message(b'["q",1,"shop",2,"new"]') == QuotaRequest(
            1, 'shop', 2
        )

    def test_number_of_tokens_is_limited(self) -> None:
        """A datagram cannot take all tokens of a large workspace."""
        message = decode_quota_message(b'["q",1,"shop",100000]')
        assert message == QuotaRequest(1, 'shop', 64)

    def test_wait_is_limited(self) -> None:
        """An owner was never asked again after a wrong answer."""
        message = decode_quota_message(b'["a",1,0,9000000000000000,7]')
        assert message == QuotaAnswer(1, 0, 1000, 7)
