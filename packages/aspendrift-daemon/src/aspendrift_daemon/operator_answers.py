"""Answers to operators, built from what this daemon holds and sees."""

from __future__ import annotations

import dataclasses

import msgspec

from aspendrift_daemon.configuration import ConfigurationManager
from aspendrift_daemon.configuration_table import (
    ChangeAbsent,
    ChangeNotWritten,
    ChangeOutcome,
    ChangeRecorded,
    ChangeUnknown,
)
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.peers import PeerLink
from aspendrift_model.configuration import item_key
from aspendrift_model.states import ItemKind
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeStatus,
    DaemonStatus,
    ItemBody,
    ItemList,
    LinkStatus,
    StatusBody,
)
from aspendrift_model.wire_peer import ItemRecord
from aspendrift_policy.configuration_rows import InvalidChange, ItemConflict

__all__ = ["OperatorAnswers"]


class OperatorAnswers:
    """Reads the state of the configuration and of the daemons for operators."""

    def __init__(
        self, keeper: ConfigurationManager, link: PeerLink, clock: Clock
    ) -> None:
        self._keeper = keeper
        self._link = link
        self._clock = clock

    def change(self, change_id: str, outcome: ChangeOutcome) -> ChangeAnswer:
        """Return the answer for the outcome of a change."""
        if isinstance(outcome, ChangeRecorded):
            return self._recorded(change_id, outcome.revision)
        if isinstance(outcome, ItemConflict):
            return ChangeAnswer(change_id, ChangeStatus.CONFLICT, other=outcome.other)
        if isinstance(outcome, InvalidChange):
            status = ChangeStatus.INVALID
            return ChangeAnswer(change_id, status, detail=outcome.detail)
        if isinstance(outcome, ChangeNotWritten):
            status = ChangeStatus.NOT_WRITTEN
            return ChangeAnswer(change_id, status, detail=outcome.detail)
        if isinstance(outcome, ChangeUnknown):
            status = ChangeStatus.UNKNOWN
            return ChangeAnswer(change_id, status, detail=outcome.detail)
        if isinstance(outcome, ChangeAbsent):
            return ChangeAnswer(change_id, ChangeStatus.ABSENT)
        return ChangeAnswer(change_id, ChangeStatus.ABANDONED)

    def items(self, kind: ItemKind) -> ItemList:
        """Return the items of a kind, sorted by name."""
        records = self._keeper.log.items_by_key.values()
        chosen = [record for record in records if record.kind is kind]
        chosen.sort(key=lambda record: record.name)
        bodies = tuple(_item_body(record) for record in chosen)
        return ItemList(self._keeper.log.revision, bodies)

    def item(self, kind: ItemKind, name: str) -> ItemBody | None:
        """Return one item, or None."""
        record = self._keeper.log.items_by_key.get(item_key(kind, name))
        return None if record is None else _item_body(record)

    def status(self) -> StatusBody:
        """Return the state of the whole as this daemon sees it."""
        now = self._clock.monotonic()
        self._keeper.watch()
        revision = self._keeper.log.revision
        progress = self._keeper.progress(revision)
        return StatusBody(
            self._link.host.daemon_id,
            revision,
            _age(self._keeper.fresh_at(now), now),
            self._keeper.may_serve(now),
            _age(self._keeper.head_read_at(), now),
            tuple(progress.unconfirmed),
            tuple(self._daemons()),
            LinkStatus(**dataclasses.asdict(self._link.counters)),
        )

    def _daemons(self) -> list[DaemonStatus]:
        return [
            DaemonStatus(
                member.host.daemon_id,
                member.state,
                member.host.incarnation,
                member.host.location.zone,
                member.host.location.region,
                member.host.url,
                self._keeper.held_by(member.host),
                member.is_serving,
            )
            for member in self._link.view.members()
        ]

    def _recorded(self, change_id: str, revision: int) -> ChangeAnswer:
        self._keeper.watch()
        progress = self._keeper.progress(revision)
        status = ChangeStatus.RECORDED
        if progress.is_accepted:
            status = ChangeStatus.ACCEPTED
        if progress.is_accepted and progress.is_in_force:
            status = ChangeStatus.IN_FORCE
        return ChangeAnswer(
            change_id,
            status,
            revision,
            progress.n_held,
            progress.n_view,
            tuple(progress.unconfirmed),
        )


def _item_body(record: ItemRecord) -> ItemBody:
    body = msgspec.Raw(record.body)
    return ItemBody(record.kind, record.name, record.revision, body)


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else now - at
