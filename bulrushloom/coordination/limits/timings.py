"""Timeouts and intervals of the election of share holders."""

from datetime import timedelta

# A holder that sends no heartbeats for this time may be replaced.
HOLDER_TIMEOUT = timedelta(seconds=2)
# Candidates act one after the other, this far apart, in the order of their ranks.
RANK_DELAY = timedelta(seconds=1)
# A starting instance waits for heartbeats of a holder before it reads the record.
START_DELAY = timedelta(seconds=1)
# After a failed attempt or the loss of the share, an instance waits this long, plus its
# rank delay, before the next attempt.
RETRY_DELAY = timedelta(seconds=1)
# After a failed write, or a failed attempt to read it back, the record is read after
# this time.
STORE_RETRY = timedelta(milliseconds=500)
# A store call without an answer is treated as failed after this time.
STORE_TIMEOUT = timedelta(seconds=5)
# An attempt fails if no majority seals the old epoch within this time.
SEAL_TIMEOUT = timedelta(seconds=1)
SEAL_REPEAT = timedelta(milliseconds=200)
# Changes of the electorate within this time are combined into one write.
RESIZE_DELAY = timedelta(milliseconds=200)
