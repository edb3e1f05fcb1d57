"""Client accounts: who sends requests, and their share of the system."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import AccountId

__all__ = ["ClientAccount"]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """One customer.

    Parameters
    ----------
    account_id : AccountId
        Unique name.
    token_sha256 : str
        Hex SHA-256 of the account's bearer token.
    share : float
        Weight of its fair share under contention.
    """

    account_id: AccountId
    token_sha256: str
    share: float = 1.0
