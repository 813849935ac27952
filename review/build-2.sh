#!/bin/sh
# The stand-ins of the second review are Python modules of the standard
# library only (review/stand2); this checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'END'
import pathlib

names = ['review/stand2/lab.py', *sorted(
    str(path) for path in pathlib.Path('review').glob('[6-9]/case.py')
)]
names += [str(path) for path in pathlib.Path('review').glob('10/case.py')]
for name in names:
    compile(pathlib.Path(name).read_text(encoding='utf-8'), name, 'exec')
END
