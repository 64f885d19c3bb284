"""The files that the processes of one ingress share beside their link, and the reducer's access to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from opalgauge.handover.id_table import IdTable
from opalgauge.handover.limit_shares import Holding
from opalgauge.handover.process_table import ProcessTable
from opalgauge.handover.record import Identity
from opalgauge.memory.effects import AbandonId, ClaimId, ReleaseId
from opalgauge.memory.events import Event, IdClaimed

# The number changes with the format of a file, so that processes of different versions use different files.
PROCESSES_NAME, IDS_NAME = "opalgauge.processes-1", "opalgauge.ids-1"


@dataclass(frozen=True, slots=True)
class SharedTables:
    """This process's entry among those of its ingress, and the ids that are out at all of them."""

    processes: ProcessTable
    ids: IdTable

    @classmethod
    def open(cls, folder: str, identity: Identity, holding: Holding) -> SharedTables:
        """Opens the files of an ingress, or creates them. Raises OSError if they cannot be used.

        `holding` is what this process holds at its start.
        """
        processes = ProcessTable(Path(folder) / f"{PROCESSES_NAME}.{identity.ingress}", holding)
        try:
            return cls(processes, IdTable(Path(folder) / f"{IDS_NAME}.{identity.ingress}", processes))
        except OSError:
            processes.close()
            raise

    def close(self) -> None:
        """Closes the files, as the end of the process does."""
        self.ids.close()
        self.processes.close()

    def claim_id(self, effect: ClaimId, report: Callable[[Event], None]) -> None:
        """Carries out a ClaimId."""
        report(IdClaimed(effect.request_id, self.ids.claim(effect.correlation_id, effect.is_safe)))

    def release_id(self, effect: ReleaseId) -> None:
        """Carries out a ReleaseId."""
        self.ids.release(effect.correlation_id)

    def abandon_id(self, effect: AbandonId) -> None:
        """Carries out an AbandonId."""
        self.ids.abandon(effect.correlation_id)
