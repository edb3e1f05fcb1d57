"""Client accounts and their fair-share weights."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import AccountId

__all__ = ["ClientAccount"]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer whose requests are authenticated and limited together.

    Parameters
    ----------
    account_id : AccountId
        Unique name of the account.
    token_sha256 : str
        Hex SHA-256 of the account's bearer token.
    share : float
        Relative weight in fair sharing when capacity is contended.
    """

    account_id: AccountId
    token_sha256: str
    share: float = 1.0
