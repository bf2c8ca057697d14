#!/bin/sh
# The stand-ins need Python's standard library alone; check that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in pathlib.Path('.').rglob('*.py'):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
