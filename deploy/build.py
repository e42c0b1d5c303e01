"""Install the libraries and copy the workspace's packages into target/deps.

Libraries are reinstalled only if deploy/requirements.txt has changed, and the packages are copied
only if a source file has changed.
"""

import compileall
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
REQUIREMENTS_STAMP = TARGET / "requirements.installed"
SOURCES_STAMP = TARGET / "sources.installed"
PACKAGES = (
    "packages/lychee-types/src/lychee_types",
    "packages/lychee-http/src/lychee_http",
    "packages/lychee-log/src/lychee_log",
    "packages/lychee-policy/src/lychee_policy",
    "packages/lychee-ranges/src/lychee_ranges",
    "packages/lychee-runtime/src/lychee_runtime",
    "packages/lychee-control/src/lychee_control",
    "packages/lychee-gateway/src/lychee_gateway",
    "platform/src/lychee_platform",
)


def main() -> None:
    """Build target/deps."""
    install_libraries()
    digest = digest_of_sources()
    if SOURCES_STAMP.exists() and SOURCES_STAMP.read_text() == digest:
        return
    for package in PACKAGES:
        copy_package(ROOT / package)
    if not compileall.compile_dir(DEPS, quiet=1, workers=0):
        sys.exit("a source file does not compile")
    SOURCES_STAMP.write_text(digest)


def install_libraries() -> None:
    """Install the libraries if they have changed since the last build."""
    requirements = REQUIREMENTS.read_text()
    if REQUIREMENTS_STAMP.exists() and REQUIREMENTS_STAMP.read_text() == requirements:
        return
    shutil.rmtree(DEPS, ignore_errors=True)
    SOURCES_STAMP.unlink(missing_ok=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
    command += ["--target", str(DEPS), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    REQUIREMENTS_STAMP.write_text(requirements)


def digest_of_sources() -> str:
    """Return a digest of all packages' source files and their names."""
    digest = hashlib.sha256()
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            digest.update(str(path.relative_to(ROOT)).encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()


def copy_package(source: Path) -> None:
    """Replace the copy of a package with its current sources."""
    target = DEPS / source.name
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))


if __name__ == "__main__":
    main()
