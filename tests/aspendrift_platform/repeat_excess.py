"""Repeats beyond what all gateways may make together."""

from __future__ import annotations


def worst_excess(repeated_at, requested_at, share, extra, window_s):
    """Return the repeats beyond the limit in the worst window that ends with one.

    Parameters
    ----------
    repeated_at, requested_at : list of float
        Times of the repeats and of the requests, in seconds.
    share, extra : float
        Repeats that are allowed for each request of a window, and beside them.
    """
    return max(
        (
            sum(end - window_s < at <= end for at in repeated_at)
            - share * sum(end - window_s < at <= end for at in requested_at)
            - extra
            for end in repeated_at
        ),
        default=-float(extra),
    )


def first_and_repeated(arrivals):
    """Return the times of first arrivals and of repeats, of pairs of time and id."""
    seen, first_at, repeated_at = set(), [], []
    for at, arrived_id in arrivals:
        (repeated_at if arrived_id in seen else first_at).append(at)
        seen.add(arrived_id)
    return first_at, repeated_at
