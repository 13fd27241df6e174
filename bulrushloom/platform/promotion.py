"""HTTP client that requests promotions of targets from the platform."""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta

import orjson

from bulrushloom.proxy.store import Promotion
from bulrushloom.runtime.http import HttpClient, HttpError
from bulrushloom.runtime.loop import Loop, Steps

# A promotion is answered within milliseconds; a slow platform must not block the
# leader, which is the instance that requests promotions.
PROMOTION_TIMEOUT = timedelta(seconds=1)


class DutyPromotion(Promotion):
    """Client that requests promotions from the platform over HTTP.

    The platform calls this a duty, which only one instance may hold at a time.
    """

    def __init__(self, loop: Loop, address: str):
        self._loop = loop
        self._address = address

    def promote(
        self,
        service: str,
        target_id: str,
        holder: str,
        fence: int,
        is_allowed: Callable[[], bool],
    ) -> "Future[int]":
        """Request a promotion; return the HTTP status, or 0 without an answer."""
        body = orjson.dumps({"Service": service, "Id": target_id})
        headers = (("Duty-Holder", holder), ("Fence-Token", str(fence)))
        return self._loop.spawn(self._promote(body, headers, is_allowed))

    def _promote(
        self,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        is_allowed: Callable[[], bool],
    ) -> Steps:
        # A new connection each time: on a broken connection, the request could wait in
        # a send buffer and arrive late.
        client = HttpClient(self._loop, self._address)
        try:
            response = yield client.request(
                "POST", "/promote", body, PROMOTION_TIMEOUT, headers, is_allowed
            )
        except HttpError:
            return 0
        finally:
            client.close()
        return response.status
