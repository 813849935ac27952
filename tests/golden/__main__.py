"""Update golden session files with the commands of the current code."""

import pathlib
import sys

from bluebellthread import core

from tests.golden import _answer  # noqa: F401  registers the answer machine
from tests.golden import _replay
from tests.golden import _revisions  # noqa: F401  registers the revisions machine

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    text = path.read_text(encoding='utf-8')
    path.write_text(_replay.replay(text, event_classes=core), encoding='utf-8')
