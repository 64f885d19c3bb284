"""The correlation ids that a new request must not use: of requests that are out, and of abandoned ones."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_ABANDONED_IDS = 1000  # that are remembered


@dataclass(slots=True)
class OpenIds:
    """The ids of requests that are out, from their receipt to the end of their answers and attempts."""

    by_id: dict[str, int] = field(default_factory=dict)
    by_request: dict[int, str] = field(default_factory=dict)

    def __len__(self) -> int:
        """The number of ids."""
        return len(self.by_id)

    def holder(self, correlation_id: str) -> int | None:
        """The request that is out under this id."""
        return self.by_id.get(correlation_id)

    def id_of(self, request_id: int) -> str | None:
        """The id of a request that is out."""
        return self.by_request.get(request_id)

    def add(self, correlation_id: str, request_id: int) -> None:
        """Enters the id of a request."""
        self.by_id[correlation_id], self.by_request[request_id] = request_id, correlation_id

    def remove(self, request_id: int) -> str | None:
        """Frees the id of a request, and returns it."""
        correlation_id = self.by_request.pop(request_id, None)
        if correlation_id is not None:
            del self.by_id[correlation_id]
        return correlation_id


@dataclass(slots=True)
class AbandonedIds:
    """The last ids of requests that may have run and whose clients had no complete answer."""

    ids: dict[str, None] = field(default_factory=dict)  # the oldest first

    def __contains__(self, correlation_id: str) -> bool:
        """Whether an id is remembered."""
        return correlation_id in self.ids

    def add(self, correlation_id: str) -> None:
        """Remembers an id."""
        self.ids[correlation_id] = None
        if len(self.ids) > MAX_ABANDONED_IDS:
            del self.ids[next(iter(self.ids))]
