"""Checks that imports name modules rather than their members.

`from package import name` is accepted when the name is a module. Names of
`typing` and `collections.abc` are accepted, as in the Google style guide.
"""

import ast
from collections.abc import Iterator
import importlib.util
import pathlib
import sys

# The documentation of behave and hypothesis imports decorators by name.
_EXEMPT_MODULES = frozenset(
    {"typing", "collections.abc", "__future__", "behave", "hypothesis"}
)


def main(roots: list[str]) -> int:
    """Prints each import of something other than a module.

    Args:
      roots: Directories to search.

    Returns:
      Exit code: 1 if such an import was found, else 0.
    """
    found = [line for root in roots for line in _check_tree(pathlib.Path(root))]
    for line in found:
        print(line)
    return 1 if found else 0


def _check_tree(root: pathlib.Path) -> Iterator[str]:
    for path in sorted(root.rglob("*.py")):
        if "_pb2" not in path.name:
            yield from _check_file(path)


def _check_file(path: pathlib.Path) -> Iterator[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module is None or node.module in _EXEMPT_MODULES:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                yield (
                    f"{path}:{node.lineno}: {alias.name} is not a module; "
                    f"import {node.module} instead"
                )


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
