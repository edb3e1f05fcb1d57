"""Demand learned by the phase of the hour."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from typing import Final

import msgspec

__all__ = ["HOUR_S", "ForecastRow", "HourForecast"]

HOUR_S: Final = 3600.0
_BIN_S: Final = 30.0
_N_BINS: Final = int(HOUR_S / _BIN_S)
_HOUR_WEIGHT: Final = 0.3
_UNSEEN: Final = -1.0


class ForecastRow(msgspec.Struct, frozen=True, array_like=True):
    """Learned demand of one key, for storage: one number for each bin."""

    bins: tuple[float, ...]


class _Curve:
    __slots__ = ("bin_index", "bins", "n_samples", "peak")

    def __init__(self) -> None:
        self.bins = array("f", [_UNSEEN] * _N_BINS)
        self.bin_index = -1
        self.peak = 0.0
        self.n_samples = 0


class HourForecast:
    """For each key the demand expected at each phase of the hour.

    The highest demand seen in each bin of half a minute is averaged over the
    hours, later hours weighing more. A bin that was never seen says nothing.
    """

    def __init__(self) -> None:
        self._curves_by_key: dict[str, _Curve] = {}

    def observe(self, key: str, demand: float, hour_phase_s: float) -> None:
        """Take in the present demand of a key.

        Parameters
        ----------
        key : str
            What the demand is for.
        demand : float
            Present demand, in any unit.
        hour_phase_s : float
            Seconds since the hour struck.
        """
        curve = self._curves_by_key.setdefault(key, _Curve())
        index = _bin_at(hour_phase_s)
        if index != curve.bin_index:
            self._close_bin(curve)
            curve.bin_index = index
        curve.peak = max(curve.peak, demand)
        curve.n_samples += 1

    def expect(
        self, key: str, hour_phase_s: float, ahead_s: float, back_s: float = 0.0
    ) -> float | None:
        """Return the highest demand expected in a window, None when unknown.

        Parameters
        ----------
        key : str
            What the demand is for.
        hour_phase_s : float
            Seconds since the hour struck.
        ahead_s, back_s : float
            How far the window reaches to both sides, in seconds.
        """
        curve = self._curves_by_key.get(key)
        if curve is None:
            return None
        first = int((hour_phase_s - back_s) // _BIN_S)
        last = int((hour_phase_s + ahead_s) // _BIN_S)
        seen = [curve.bins[i % _N_BINS] for i in range(first, last + 1)]
        seen = [value for value in seen if value != _UNSEEN]
        return max(seen) if seen else None

    def rows(self) -> dict[str, ForecastRow]:
        """Return everything learned, for storage."""
        return {
            key: ForecastRow(tuple(round(value, 3) for value in curve.bins))
            for key, curve in self._curves_by_key.items()
        }

    def restore(self, rows: Mapping[str, ForecastRow]) -> None:
        """Take in what was stored, for bins this daemon has not seen itself."""
        for key, row in rows.items():
            if len(row.bins) != _N_BINS:
                continue
            curve = self._curves_by_key.setdefault(key, _Curve())
            for index, value in enumerate(row.bins):
                if curve.bins[index] == _UNSEEN:
                    curve.bins[index] = value

    def _close_bin(self, curve: _Curve) -> None:
        if curve.bin_index < 0 or curve.n_samples == 0:
            return
        known = curve.bins[curve.bin_index]
        learned = curve.peak
        if known != _UNSEEN:
            learned = known + _HOUR_WEIGHT * (curve.peak - known)
        curve.bins[curve.bin_index] = learned
        curve.peak = 0.0
        curve.n_samples = 0


def _bin_at(hour_phase_s: float) -> int:
    return int(hour_phase_s // _BIN_S) % _N_BINS
