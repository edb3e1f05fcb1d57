"""Access control under /v1/admin: bearer tokens and roles."""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
from dataclasses import dataclass
from typing import Final

from aspendrift_daemon.authentication import bearer_token
from aspendrift_model.settings_http import HttpSettings, OperatorRole
from aspendrift_model.states import RefusalReason

__all__ = ["Operator", "OperatorAccess", "OperatorDenied"]

_RANK: Final = {
    OperatorRole.READ: 0,
    OperatorRole.PUBLISH: 1,
    OperatorRole.DRAIN: 2,
}
_LOCAL_OPERATOR: Final = "local"


@dataclass(frozen=True, slots=True)
class Operator:
    """An authenticated operator."""

    name: str


class OperatorDenied(Exception):
    """The token is unknown or lacks the role."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class OperatorAccess:
    """Checks tokens against the operators of the settings.

    Without operators in the settings, a daemon on loopback admits everyone and
    any other daemon admits no one.
    """

    def __init__(self, settings: HttpSettings) -> None:
        self._operators = settings.operators
        self._is_open = not settings.operators and _is_loopback(settings.host)

    def require(self, authorization: str | None, role: OperatorRole) -> Operator:
        """Return the operator that a header names.

        Raises
        ------
        OperatorDenied
            If the token is missing, unknown or does not grant the role.
        """
        if self._is_open:
            return Operator(_LOCAL_OPERATOR)
        token = bearer_token(authorization)
        if token is None:
            raise OperatorDenied(RefusalReason.UNAUTHENTICATED)
        token_sha256 = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator in self._operators:
            if hmac.compare_digest(token_sha256, operator.sha256.lower()):
                found = operator
        if found is None:
            raise OperatorDenied(RefusalReason.UNAUTHENTICATED)
        highest = max((_RANK[each] for each in found.roles), default=-1)
        if highest < _RANK[role]:
            raise OperatorDenied(RefusalReason.FORBIDDEN)
        return Operator(found.name)


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
