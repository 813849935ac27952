#!/usr/bin/env bash
# The stand-ins are Python files; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
