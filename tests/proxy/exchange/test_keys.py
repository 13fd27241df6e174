"""Keys of the exchange: their record and their rotation."""

from datetime import timedelta

import pytest

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.exchange.keys import (
    DISTRIBUTION_TIME,
    ROTATION_INTERVAL,
    decode_keys,
    new_keys,
    next_rotation_step,
)

SECOND = timedelta(seconds=1)
DISTRIBUTION_S = DISTRIBUTION_TIME / SECOND
ROTATION_S = ROTATION_INTERVAL / SECOND


def test_record_is_read_as_it_was_written():
    keys = new_keys(7.0)
    assert decode_keys(keys.encode()) == keys


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"signing_id":"00000000","secret_by_id":{},"changed_at_s":1}',
        b'{"signing_id":"00000000","secret_by_id":{"00000000":"ab"},"changed_at_s":1}',
        b'{"signing_id":"x","secret_by_id":{"zz":"zz"},"changed_at_s":1}',
        new_keys(0.0).encode().replace(b'"signing_id":"', b'"signing_id":"0'),
    ],
)
def test_malformed_record_is_rejected(value):
    assert isinstance(decode_keys(value), Missing)


def test_instances_on_both_sides_of_each_step_understand_each_other():
    # Guards against a rotation during which datagrams are rejected.
    steps, now_s = [new_keys(0.0)], ROTATION_S
    while len(steps) < 4:
        step = next_rotation_step(steps[-1], now_s)
        assert step is not None
        assert next_rotation_step(step, now_s + 1) is None
        steps.append(step)
        now_s += DISTRIBUTION_S
    for earlier, later in zip(steps, steps[1:], strict=False):
        assert later.verify(earlier.sign(b"body")) == b"body"
        assert earlier.verify(later.sign(b"body")) == b"body"
    assert isinstance(steps[3].verify(steps[0].sign(b"body")), Missing)
    assert len(steps[3].secret_by_id) == 1
    assert next_rotation_step(steps[3], now_s) is None
