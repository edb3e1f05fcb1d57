"""Progress of the stages of one request, and the pieces that may start next.

A piece may start once every piece of the preceding stages has a result. Results are
freed when they are no longer needed: those of an inner stage when all pieces that use
them are completed, those of the last stages when the request has fetched them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from aspendrift_model.ids import AttemptId
from aspendrift_model.pieces import Handle, JobOrigin, PieceId, PieceWork
from aspendrift_model.routes import StageSpec

__all__ = ["StagePlan", "StageTimes"]


@dataclass(frozen=True, slots=True)
class StageTimes:
    """Expected time of a complete stage in seconds, by stage index."""

    by_stage: Mapping[int, float]

    def of(self, stage: int) -> float:
        """Return the expected time of a stage; 0 if there is no estimate."""
        return self.by_stage.get(stage, 0.0)


class StagePlan:
    """The stages of one request.

    Parameters
    ----------
    stages : sequence of StageSpec
        Stages of the route, in the order of their indices.
    n_pieces : sequence of int
        Number of pieces of each stage; stages without pieces are left out.
    key : str
        Key that pieces without inputs are computed from.
    """

    def __init__(
        self,
        attempt_id: AttemptId,
        stages: Sequence[StageSpec],
        n_pieces: Sequence[int],
        key: str,
    ) -> None:
        self.attempt_id = attempt_id
        self._key = key
        self.n_pieces = {
            stage.index: n_pieces[stage.index]
            for stage in stages
            if stage.index < len(n_pieces) and n_pieces[stage.index] > 0
        }
        self.specs_by_index = {
            stage.index: stage for stage in stages if stage.index in self.n_pieces
        }
        self._predecessors = {
            index: self._existing(spec.after)
            for index, spec in self.specs_by_index.items()
        }
        followed = {
            each
            for predecessors in self._predecessors.values()
            for each in predecessors
        }
        self.last_stages = tuple(
            index for index in sorted(self.specs_by_index) if index not in followed
        )
        self._results: dict[int, dict[int, Handle]] = {
            index: {} for index in self.specs_by_index
        }
        self._freed: set[int] = set()
        self._begun: set[int] = set()

    @property
    def is_done(self) -> bool:
        """Whether every piece has a result."""
        return all(self.is_completed(index) for index in self.specs_by_index)

    def is_completed(self, stage: int) -> bool:
        """Return whether every piece of a stage has a result."""
        return len(self._results[stage]) == self.n_pieces[stage]

    def ready_stages(self) -> list[int]:
        """Return the stages that have all of their inputs and are not completed."""
        return [
            index
            for index in sorted(self.specs_by_index)
            if not self.is_completed(index)
            and all(
                self.is_completed(predecessor)
                for predecessor in self._predecessors[index]
            )
        ]

    def work(self, stage: int) -> list[PieceWork]:
        """Return the pieces of a ready stage that have no result yet."""
        inputs = tuple(
            handle
            for predecessor in self._predecessors[stage]
            for handle in self.handles(predecessor)
        )
        key = "" if self._predecessors[stage] else self._key
        completed = self._results[stage]
        return [
            PieceWork(PieceId(self.attempt_id, stage, piece), key, inputs)
            for piece in range(self.n_pieces[stage])
            if piece not in completed
        ]

    def begin(self, stage: int) -> JobOrigin:
        """Record that a job of a stage is submitted; return its origin."""
        pool = self.specs_by_index[stage].pool
        if stage in self._begun:
            return JobOrigin.REPEATED
        is_further = any(self.specs_by_index[n].pool == pool for n in self._begun)
        self._begun.add(stage)
        return JobOrigin.FURTHER if is_further else JobOrigin.FIRST

    def record_result(self, piece_id: PieceId, handle: Handle) -> list[int]:
        """Record a result; return the stages whose results are no longer needed."""
        self._results[piece_id.stage][piece_id.piece] = handle
        unneeded = [
            predecessor
            for predecessor in self._predecessors[piece_id.stage]
            if predecessor not in self._freed and self._is_unneeded(predecessor)
        ]
        self._freed.update(unneeded)
        return unneeded

    def has_result(self, piece_id: PieceId) -> bool:
        """Return whether a piece has a result already."""
        return piece_id.piece in self._results[piece_id.stage]

    def discard_results(self, stage: int) -> None:
        """Discard the lost results of a stage, so that it is executed again.

        Preceding stages whose results have been freed are executed again as well.
        """
        self._results[stage] = {}
        self._freed.discard(stage)
        for predecessor in self._predecessors[stage]:
            if predecessor in self._freed:
                self.discard_results(predecessor)

    def handles(self, stage: int) -> list[Handle]:
        """Return the results of a stage, in the order of the pieces."""
        results = self._results[stage]
        return [results[piece] for piece in sorted(results)]

    def inputs_of(self, stage: int) -> tuple[int, ...]:
        """Return the stages whose results a stage needs."""
        return self._predecessors[stage]

    def final_inputs(self) -> list[Handle]:
        """Return the results of the last stages, which the request itself needs."""
        return [handle for index in self.last_stages for handle in self.handles(index)]

    def release(self) -> list[int]:
        """Return the stages whose results are still held, and mark them as freed."""
        held = [
            index
            for index, results in self._results.items()
            if results and index not in self._freed
        ]
        self._freed.update(held)
        return held

    def remaining_s(self, times: StageTimes) -> float:
        """Return the expected time until every stage is completed."""
        remaining: dict[int, float] = {}
        for index in sorted(self.specs_by_index):
            starts_in_s = max(
                (remaining[each] for each in self._predecessors[index]), default=0.0
            )
            remaining[index] = starts_in_s + (
                0.0 if self.is_completed(index) else times.of(index)
            )
        return max(remaining.values(), default=0.0)

    def slack_s(self, stage: int, times: StageTimes) -> float:
        """Return how long a ready stage may wait without delaying the request.

        Only a last stage has slack; inner stages delay the stages that use their
        results.
        """
        if stage not in self.last_stages:
            return 0.0
        return max(0.0, self.remaining_s(times) - times.of(stage))

    def _existing(self, stages: tuple[int, ...]) -> tuple[int, ...]:
        """Return those of the stages that the request has, without duplicates."""
        existing: list[int] = []
        for stage in stages:
            if stage in self.specs_by_index and stage not in existing:
                existing.append(stage)
        return tuple(existing)

    def _is_unneeded(self, stage: int) -> bool:
        consumers = [
            index
            for index, predecessors in self._predecessors.items()
            if stage in predecessors
        ]
        return all(self.is_completed(consumer) for consumer in consumers)
