"""Tests of the liveness and readiness routes."""

from __future__ import annotations

from litestar.testing import create_test_client

from aspendrift_daemon.health_routes import UnreadyReason, health_handlers


def test_readiness_follows_the_reasons() -> None:
    reasons: list[UnreadyReason] = []
    with create_test_client(health_handlers(lambda: reasons)) as client:
        assert client.get("/readyz").status_code == 200
        reasons.append(UnreadyReason.LEAVING)
        response = client.get("/readyz")
        assert response.status_code == 503
        assert response.json() == {"ok": False, "reasons": ["leaving"]}
        assert client.get("/livez").json()["ok"] is True
