"""Resolves bearer tokens to client accounts."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from aspendrift_daemon.interfaces import ConfigurationSource
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.configuration import Configuration

__all__ = ["AccountAuthenticator", "bearer_token"]

_SCHEME: Final = "bearer"


class AccountAuthenticator:
    """Finds the client account of a token.

    Accounts are indexed by the digest of their token. An attacker who guesses
    tokens can't control the digest, so the timing of the look-up reveals nothing
    useful; the final comparison takes constant time nevertheless.
    """

    def __init__(self, configuration: ConfigurationSource) -> None:
        self._accounts_by_digest: dict[str, ClientAccount] = {}
        self._index(configuration.current())
        configuration.on_change(self._index)

    def account(self, authorization: str | None) -> ClientAccount | None:
        """Return the account of an ``Authorization`` header, or None."""
        token = bearer_token(authorization)
        if token is None:
            return None
        digest = hashlib.sha256(token.encode()).hexdigest()
        account = self._accounts_by_digest.get(digest)
        if account is None:
            return None
        known = account.token_sha256.lower()
        return account if hmac.compare_digest(known, digest) else None

    def _index(self, configuration: Configuration) -> None:
        self._accounts_by_digest = {
            account.token_sha256.lower(): account
            for account in configuration.accounts_by_id.values()
        }


def bearer_token(authorization: str | None) -> str | None:
    """Return the token of an ``Authorization`` header, or None."""
    if not authorization:
        return None
    scheme, _, token = authorization.partition(" ")
    token = token.strip()
    return token if scheme.lower() == _SCHEME and token else None
