"""Tests of settings that change while a process runs."""

from __future__ import annotations

import asyncio

from aspendrift_daemon.events import EventHub
from aspendrift_gateway.settings_watch import SettingsWatch
from aspendrift_standins.virtual_time import run_virtual


class File:
    """A settings file; content None if missing, an exception if invalid."""

    def __init__(self):
        self.content = "first"

    def change_token(self):
        if self.content is None:
            raise FileNotFoundError("gone")
        return str(self.content)

    def read(self):
        if self.content is None:
            raise FileNotFoundError("gone")
        if isinstance(self.content, Exception):
            raise self.content
        return self.content


def run_scenario(scenario):
    async def main():
        file, applied, hub, problems = File(), [], EventHub(), []
        hub.connect_all(lambda event: problems.append(event.problem))
        watch = SettingsWatch(file, hub)
        watch.start(applied.append)
        await scenario(file, watch)
        await watch.stop()
        return applied, problems

    return run_virtual(main())


def test_change_without_a_signal_is_applied_once():
    async def scenario(file, watch):
        await asyncio.sleep(3.0)
        file.content = "second"
        await asyncio.sleep(5.0)

    assert run_scenario(scenario) == (["second"], [""])


def test_signal_reloads_at_once_and_only_once():
    async def scenario(file, watch):
        file.content = "second"
        watch.reload()
        await asyncio.sleep(5.0)

    assert run_scenario(scenario) == (["second"], [""])


def test_bad_or_missing_file_changes_nothing_and_is_reported_once():
    async def scenario(file, watch):
        file.content = ValueError("no address")
        await asyncio.sleep(5.0)
        file.content = None
        await asyncio.sleep(5.0)
        file.content = "third"
        await asyncio.sleep(5.0)

    assert run_scenario(scenario) == (["third"], ["no address", "gone", ""])
