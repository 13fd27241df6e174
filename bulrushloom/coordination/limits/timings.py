"""Times of the election of share holders."""

from datetime import timedelta

HOLDER_TIMEOUT = timedelta(seconds=2)
RANK_DELAY = timedelta(seconds=1)
# A starting instance listens for a holder before it looks at the record.
START_DELAY = timedelta(seconds=1)
RETRY_DELAY = timedelta(seconds=1)
STORE_RETRY = timedelta(milliseconds=500)
# A store call that was not answered at all is given up after this time.
STORE_TIMEOUT = timedelta(seconds=5)
SEAL_TIMEOUT = timedelta(seconds=1)
SEAL_REPEAT = timedelta(milliseconds=200)
# Changes that come shortly after each other are written together.
RESIZE_DELAY = timedelta(milliseconds=200)
