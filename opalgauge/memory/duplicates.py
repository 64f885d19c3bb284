"""Requests whose id is open already, held until it is known whether the earlier request's client has left."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

from opalgauge.memory.events import RequestReceived

MAX_HELD_DUPLICATES = 32


@dataclass(slots=True)
class HeldDuplicate:
    """A request that came while another one with its id was open."""

    received: RequestReceived
    earlier_client_id: int  # of the request that has the id
    since: datetime
    memory: int  # bytes that it takes while it is held


@dataclass(slots=True)
class HeldDuplicates:
    """All held requests: at most one for each client of an earlier request."""

    by_earlier_client: dict[int, HeldDuplicate] = field(default_factory=dict)

    def __len__(self) -> int:
        """The number of held requests."""
        return len(self.by_earlier_client)

    def has_behind(self, earlier_client_id: int) -> bool:
        """Whether a request waits for this client."""
        return earlier_client_id in self.by_earlier_client

    def has_room_behind(self, earlier_client_id: int) -> bool:
        """Whether another request may be held until this client is known to have left."""
        return len(self) < MAX_HELD_DUPLICATES and not self.has_behind(earlier_client_id)

    def add(self, duplicate: HeldDuplicate) -> None:
        """Holds a request."""
        self.by_earlier_client[duplicate.earlier_client_id] = duplicate

    def take(self, earlier_client_id: int) -> HeldDuplicate | None:
        """Takes out the request that waits for this client."""
        return self.by_earlier_client.pop(earlier_client_id, None)

    def take_request(self, request_id: int) -> HeldDuplicate | None:
        """Takes out the request with this number."""
        for duplicate in self.by_earlier_client.values():
            if duplicate.received.request_id == request_id:
                return self.take(duplicate.earlier_client_id)
        return None
