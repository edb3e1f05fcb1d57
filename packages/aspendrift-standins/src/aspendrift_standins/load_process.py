"""Sends a plan from several processes; one alone can't keep the send times."""

from __future__ import annotations

import asyncio
import pickle
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import click

from aspendrift_standins.errors import SenderFailed
from aspendrift_standins.fleet import Fleet
from aspendrift_standins.load import LoadSender, PlanShare, RequestRecord
from aspendrift_standins.load_plan import LoadPlan
from aspendrift_standins.process import write_ready_file

__all__ = ["main", "send_from_processes"]

_START_DELAY_S: Final = 4.0
_MODULE: Final = "aspendrift_standins.load_process"


@dataclass(frozen=True, slots=True)
class _Task:
    """Task of one sender process, written to a file in the fleet's directory."""

    seeds: tuple[str, ...]
    plan: LoadPlan
    share: PlanShare


async def send_from_processes(
    fleet: Fleet, seeds: Sequence[str], plan: LoadPlan, n_senders: int
) -> list[RequestRecord]:
    """Send a plan from several processes of a fleet and return all records.

    Raises
    ------
    SenderFailed
        If a sender process exits with an error.
    """
    started_at = time.monotonic() + _START_DELAY_S
    senders = [_Sender(fleet, f"{plan.run_name}-sender-{i}") for i in range(n_senders)]
    for i, sender in enumerate(senders):
        share = PlanShare(i, n_senders, started_at)
        await sender.start(_Task(tuple(seeds), plan, share))
    records: list[RequestRecord] = []
    for sender in senders:
        records += await sender.records()
    return records


class _Sender:
    """A sender process and its files."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._task_file = fleet.directory / f"{name}.task"
        self._records_file = fleet.directory / f"{name}.records"

    async def start(self, task: _Task) -> None:
        """Write the task and start the process."""
        self._task_file.write_bytes(pickle.dumps(task))
        files = [str(self._task_file), str(self._records_file)]
        await self._fleet.start_module(self._name, _MODULE, files)

    async def records(self) -> list[RequestRecord]:
        """Wait until the process exits and return its records."""
        child = self._fleet.child(self._name)
        await child.wait_ended(None)
        if child.exit_code != 0:
            raise SenderFailed(self._name, child.log_tail())
        records: list[RequestRecord] = pickle.loads(self._records_file.read_bytes())
        return records


@click.command()
@click.argument("task_file")
@click.argument("records_file")
@click.option("--ready-file", default="", help="Written once it has read its task.")
def main(task_file: str, records_file: str, ready_file: str) -> None:
    """Send the share of a plan that TASK_FILE holds."""
    task: _Task = pickle.loads(Path(task_file).read_bytes())
    write_ready_file(ready_file, {})
    records: list[RequestRecord] = []
    sender = LoadSender(task.seeds, records.append)
    asyncio.run(sender.run(task.plan, task.share))
    Path(records_file).write_bytes(pickle.dumps(records))


if __name__ == "__main__":
    main()
