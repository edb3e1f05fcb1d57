"""Publishes configuration items through the operator API of daemons."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Sequence
from typing import Final, TypeAlias

import httpx
import msgspec

from aspendrift_model.accounts import ClientAccount
from aspendrift_model.profiles import Profile
from aspendrift_model.states import ItemKind
from aspendrift_model.targets import Target
from aspendrift_model.wire_operator import ChangeAnswer, ChangeRequest, ChangeStatus
from aspendrift_standins.errors import PublishError
from aspendrift_standins.fleet import OPERATOR_TOKEN

__all__ = ["Item", "publish", "wait_in_force"]

Item: TypeAlias = Profile | Target | ClientAccount

_TIMEOUT_S: Final = 20.0
_POLL_S: Final = 0.1
_PENDING: Final = (ChangeStatus.ACCEPTED, ChangeStatus.RECORDED)


async def publish(urls: Sequence[str], items: Sequence[Item]) -> None:
    """Publish new items in order and wait until all are in force.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of daemons, used round robin.

    Raises
    ------
    PublishError
        If a change is refused or does not come into force in time.
    """
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
        answer: ChangeAnswer | None = None
        for i, item in enumerate(items):
            answer = await _publish_one(client, urls[i % len(urls)], item)
        if answer is not None:
            await wait_in_force(client, urls[0], answer.change_id)


async def wait_in_force(client: httpx.AsyncClient, url: str, change_id: str) -> None:
    """Wait until a change is in force at every daemon in the membership view.

    Raises
    ------
    PublishError
        If it does not come into force in time.
    """
    deadline = time.monotonic() + _TIMEOUT_S
    while True:
        response = await client.get(f"{url}/v1/admin/changes/{change_id}")
        answer = _decoded(response, change_id)
        if answer.status is ChangeStatus.IN_FORCE:
            return
        if time.monotonic() >= deadline:
            raise PublishError(change_id, response.text)
        await asyncio.sleep(_POLL_S)


async def _publish_one(client: httpx.AsyncClient, url: str, item: Item) -> ChangeAnswer:
    kind, name = _kind_and_name(item)
    body = msgspec.Raw(msgspec.json.encode(item))
    change = ChangeRequest(uuid.uuid4().hex, kind, name, 0, body)
    content = msgspec.json.encode(change)
    response = await client.post(f"{url}/v1/admin/changes", content=content)
    answer = _decoded(response, name)
    if answer.status not in (*_PENDING, ChangeStatus.IN_FORCE):
        raise PublishError(name, response.text)
    return answer


def _decoded(response: httpx.Response, name: str) -> ChangeAnswer:
    try:
        return msgspec.json.decode(response.content, type=ChangeAnswer)
    except msgspec.MsgspecError:
        raise PublishError(name, response.text) from None


def _kind_and_name(item: Item) -> tuple[ItemKind, str]:
    if isinstance(item, Profile):
        return ItemKind.PROFILE, item.name
    if isinstance(item, Target):
        return ItemKind.TARGET, item.target_id
    return ItemKind.ACCOUNT, item.account_id
