"""Demand forecast by the time within the hour, learned from earlier hours."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from typing import Final

import msgspec

__all__ = ["HOUR_S", "ForecastRow", "HourForecast"]

HOUR_S: Final = 3600.0
_BIN_S: Final = 30.0
_N_BINS: Final = int(HOUR_S / _BIN_S)
_EWMA_WEIGHT: Final = 0.3
_NO_SAMPLE: Final = -1.0


class ForecastRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored demand of one key: one value for each bin of the hour."""

    bins: tuple[float, ...]


class _Curve:
    __slots__ = ("bin_index", "bins", "n_samples", "peak")

    def __init__(self) -> None:
        self.bins = array("f", [_NO_SAMPLE] * _N_BINS)
        self.bin_index = -1
        self.peak = 0.0
        self.n_samples = 0


class HourForecast:
    """Expected demand of each key, by the time within the hour.

    The peak demand in each half-minute bin is averaged over the hours, with an
    exponentially weighted mean. Bins without samples are ignored.
    """

    def __init__(self) -> None:
        self._curves_by_key: dict[str, _Curve] = {}

    def observe(self, key: str, demand: float, hour_phase_s: float) -> None:
        """Record the current demand of a key.

        Parameters
        ----------
        key : str
            What the demand is for.
        demand : float
            Current demand, in any unit.
        hour_phase_s : float
            Seconds since the start of the hour.
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
        """Return the highest demand expected in a window, or None if unknown.

        Parameters
        ----------
        key : str
            What the demand is for.
        hour_phase_s : float
            Seconds since the start of the hour.
        ahead_s, back_s : float
            Extent of the window after and before that time, in seconds.
        """
        curve = self._curves_by_key.get(key)
        if curve is None:
            return None
        first = int((hour_phase_s - back_s) // _BIN_S)
        last = int((hour_phase_s + ahead_s) // _BIN_S)
        samples = [curve.bins[i % _N_BINS] for i in range(first, last + 1)]
        samples = [value for value in samples if value != _NO_SAMPLE]
        return max(samples) if samples else None

    def rows(self) -> dict[str, ForecastRow]:
        """Return the learned demand of all keys, for storage."""
        return {
            key: ForecastRow(tuple(round(value, 3) for value in curve.bins))
            for key, curve in self._curves_by_key.items()
        }

    def restore(self, rows: Mapping[str, ForecastRow]) -> None:
        """Restore stored demand into the bins for which there are no samples."""
        for key, row in rows.items():
            if len(row.bins) != _N_BINS:
                continue
            curve = self._curves_by_key.setdefault(key, _Curve())
            for index, value in enumerate(row.bins):
                if curve.bins[index] == _NO_SAMPLE:
                    curve.bins[index] = value

    def _close_bin(self, curve: _Curve) -> None:
        if curve.bin_index < 0 or curve.n_samples == 0:
            return
        previous = curve.bins[curve.bin_index]
        average = curve.peak
        if previous != _NO_SAMPLE:
            average = previous + _EWMA_WEIGHT * (curve.peak - previous)
        curve.bins[curve.bin_index] = average
        curve.peak = 0.0
        curve.n_samples = 0


def _bin_at(hour_phase_s: float) -> int:
    return int(hour_phase_s // _BIN_S) % _N_BINS
