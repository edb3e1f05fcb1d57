"""Tests of the demand forecast by the time within the hour."""

from __future__ import annotations

from aspendrift_policy.forecast import HOUR_S, HourForecast


def observe_hours(forecast: HourForecast, n_hours: int, surge: float) -> None:
    for second in range(0, int(n_hours * HOUR_S), 10):
        phase = second % HOUR_S
        demand = surge if phase < 120 else 1.0
        forecast.observe("draft", demand, phase)


def test_surge_is_forecast_before_its_hour_begins() -> None:
    forecast = HourForecast()
    observe_hours(forecast, 2, 30.0)
    assert forecast.expect("draft", HOUR_S - 60, ahead_s=120) == 30.0
    assert forecast.expect("draft", 1800, ahead_s=120) == 1.0


def test_first_hour_gives_no_forecast() -> None:
    forecast = HourForecast()
    observe_hours(forecast, 1, 30.0)
    assert forecast.expect("other", 0.0, ahead_s=60) is None
    fresh = HourForecast()
    fresh.observe("draft", 5.0, 0.0)
    assert fresh.expect("draft", 600, ahead_s=60) is None


def test_later_hours_weigh_more() -> None:
    forecast = HourForecast()
    observe_hours(forecast, 2, 30.0)
    observe_hours(forecast, 8, 10.0)
    expected = forecast.expect("draft", 10.0, ahead_s=30)
    assert expected is not None
    assert 10.0 <= expected < 13.0


def test_stored_rows_fill_what_a_new_daemon_has_not_seen() -> None:
    old, new = HourForecast(), HourForecast()
    observe_hours(old, 2, 30.0)
    new.restore(old.rows())
    assert new.expect("draft", 0.0, ahead_s=60) == 30.0
