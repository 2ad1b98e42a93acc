#!/bin/sh
# Builds the stand-ins: they are Python of the standard library, so all that is to do is to compile them once.
# Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
END
