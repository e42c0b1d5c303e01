"""Embedding the coordination packages in other programs.

Their wheels must work without the other lycheescale packages and the libraries of the daemons, and
the example must run.
"""

import runpy
import subprocess
import sys
from email import message_from_bytes
from pathlib import Path
from zipfile import ZipFile

import pytest
from hatchling.builders.wheel import WheelBuilder

ROOT = Path(__file__).parents[3]
COORDINATION = ("lychee-types", "lychee-owner", "lychee-policy", "lychee-log")
FORBIDDEN = ("circuits", "grpclib", "click", "h11", "statsd", "uvloop")

IMPORT_ALL = """
import importlib, os, pkgutil, sys
folder, package, forbidden = sys.argv[1], sys.argv[2], sys.argv[3].split(",")
sys.path.insert(0, folder)

class BlockImports:
    def find_spec(self, name, path=None, target=None):
        top = name.split(".")[0]
        not_in_wheel = top.startswith("lychee_") and not os.path.isdir(f"{folder}/{top}")
        if top in forbidden or not_in_wheel:
            raise ImportError(f"{name} must not be needed")

sys.meta_path.insert(0, BlockImports())
root = importlib.import_module(package)
assert root.__file__.startswith(folder), root.__file__
names = [m.name for m in pkgutil.walk_packages(root.__path__, package + ".")]
for name in names:
    importlib.import_module(name)
print(len(names) + 1)
"""


@pytest.fixture(scope="module")
def wheels(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Path]:
    """Build the wheels of the coordination packages; return their paths by package name."""
    folder = tmp_path_factory.mktemp("wheels")
    return {
        name: Path(next(WheelBuilder(str(ROOT / "packages" / name)).build(directory=str(folder))))
        for name in COORDINATION
    }


def requirements(wheel: Path) -> set[str]:
    with ZipFile(wheel) as archive:
        name = next(n for n in archive.namelist() if n.endswith("/METADATA"))
        return set(message_from_bytes(archive.read(name)).get_all("Requires-Dist", []))


@pytest.mark.parametrize("name", COORDINATION)
def test_a_wheel_imports_without_daemon_libraries(
    wheels: dict[str, Path], name: str, tmp_path: Path
) -> None:
    ours = {need for need in requirements(wheels[name]) if need.startswith("lychee")}
    assert ours <= {"lychee-types"}
    for needed in {name, *ours}:
        with ZipFile(wheels[needed]) as archive:
            archive.extractall(tmp_path)
    package = name.replace("-", "_")
    words = [sys.executable, "-I", "-c", IMPORT_ALL, str(tmp_path), package, ",".join(FORBIDDEN)]
    result = subprocess.run(words, capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode == 0, result.stderr
    assert int(result.stdout) >= 3


def test_the_embedding_example_serves_the_key_after_a_loss(capsys: pytest.CaptureFixture) -> None:
    runpy.run_path(str(ROOT / "examples" / "embed_ownership.py"), run_name="__main__")
    first, second, third = capsys.readouterr().out.splitlines()
    owner = first.removeprefix("spade-7 belongs to ")
    assert second.startswith(f"after the loss of {owner} it belongs to repair-")
    assert not second.endswith(owner)
    assert float(third.split()[-2]) <= 4.0
