"""Client of the advice service, which decides which upstreams may run a step."""

from __future__ import annotations

import aiohttp

from ..decoding import check_list, check_str, decoder, get_int, get_items, parse_object
from ..errors import AdviceError, DecodeError
from ..sessions import open_session
from .wire import dump_json

CALL_TIMEOUT_MS = 10_000
KEEPALIVE_S = 30


class AdviceClient:
    """HTTP client of the advice service; owned by one actor."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def advise(
        self, step_name: str, upstream_ids: tuple[str, ...]
    ) -> tuple[dict[str, str], int]:
        """Return a ticket for each upstream that may run the step, and the tickets' validity in ms.

        :raises AdviceError: if the service does not answer or is busy.
        """
        if self._session is None:
            self._session = open_session(1, KEEPALIVE_S, CALL_TIMEOUT_MS)
        body = dump_json({"step": step_name, "workers": list(upstream_ids)})
        headers = {"Content-Type": "application/json"}
        url = f"http://{self.address}/advise"
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                status, content = response.status, await response.read()
            if status != 200:
                raise AdviceError(f"status {status}", step="ask for advice", peer=self.address)
            return decode_advice(content)
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            raise AdviceError(repr(error), step="ask for advice", peer=self.address) from error


@decoder("advice")
def decode_advice(body: bytes) -> tuple[dict[str, str], int]:
    """Decode tickets by upstream, and their validity in ms."""
    data = parse_object(body)
    rows = get_items(data, "good", check_list)
    tickets = {check_str(row[0], "good"): check_str(row[1], "good") for row in rows}
    return tickets, get_int(data, "valid-ms")
