"""Tests of what a start of the gateway loads; counted, not timed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest

ROOT = Path(__file__).resolve().parents[2]
LIBRARIES = Path(msgspec.__file__).resolve().parents[1]
# Modules of the product's other interfaces and of features that the platform lacks.
UNUSED = ("litestar", "cryptography", "zmq.auth", "aspendrift_client")
REPORT = """
import gc, json, os, runpy, sys
app, script = sys.argv[1:]
sys.path.insert(1, app)
runpy.run_path(script)["load_main"]()
specs = [getattr(m, "__spec__", None) for m in list(sys.modules.values())]
print(json.dumps({
    "names": sorted(sys.modules),
    "path": sys.path,
    "is_collecting": gc.isenabled(),
    "n_tracked": len(gc.get_objects()),
    "n_frozen": gc.get_freeze_count(),
    "uncompiled": [
        s.name for s in specs
        if s and s.origin and s.origin.endswith(".py")
        and not (s.cached and os.path.exists(s.cached))
    ],
}))
"""


@pytest.fixture(scope="module")
def start(tmp_path_factory):
    """Assemble the sources and import the gateway as the deploy file starts it."""
    app = tmp_path_factory.mktemp("target") / "app"
    command = [sys.executable, str(ROOT / "platform/assemble.py"), str(app)]
    subprocess.run(command, check=True)
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": str(LIBRARIES)}
    script = str(ROOT / "platform/aspendriftd.py")
    done = subprocess.run(
        [sys.executable, "-S", "-B", "-c", REPORT, str(app), script],
        check=True,
        capture_output=True,
        env=environment,
    )
    return json.loads(done.stdout)


def test_every_module_has_bytecode(start):
    assert start["uncompiled"] == []


def test_unused_modules_are_not_loaded(start):
    loaded = [
        name for name in start["names"] if name.startswith(UNUSED) or name == "trio"
    ]
    assert loaded == []


def test_start_script_does_not_redirect_bytecode():
    # Bytecode of the standard library exists only beside its sources.
    assert "pycache_prefix" not in (ROOT / "platform/aspendriftd.py").read_text()


def test_packages_installed_on_a_host_are_not_searched(start):
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert deploy["roles"]["gateway"]["run"].split()[1] == "-S"
    found = [each for each in start["path"] if "site-packages" in each]
    assert found == [str(LIBRARIES)]


def test_garbage_collection_skips_what_was_imported(start):
    # A full collection visits tracked objects only; frozen ones are not tracked.
    assert start["is_collecting"]
    assert start["n_frozen"] > 20 * start["n_tracked"]


def test_process_ends_without_the_clean_up_of_the_interpreter(tmp_path):
    code = (
        "import atexit; atexit.register(print, 'cleaned up', flush=True);"
        "from aspendrift_platform.main import run; run()"
    )
    path = os.pathsep.join(each for each in sys.path if each)
    missing = str(tmp_path / "missing.json")
    done = subprocess.run(
        [sys.executable, "-c", code],
        check=False,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": path, "ASPENDRIFT_BOOT": missing},
    )
    assert done.returncode == 2
    assert b"missing.json" in done.stderr
    assert done.stdout == b""
