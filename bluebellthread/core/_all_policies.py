"""The registries of policies, with every policy registered."""

from bluebellthread.core import _decode_policies  # noqa: F401
from bluebellthread.core import _early_refusal  # noqa: F401
from bluebellthread.core import _fair_queue  # noqa: F401
from bluebellthread.core import _first_come_queue  # noqa: F401
from bluebellthread.core._policies import decode_policies
from bluebellthread.core._policies import prefill_policies
from bluebellthread.core._policies import queue_policies
from bluebellthread.core._policies import spill_policies
from bluebellthread.core import _prefill_policies  # noqa: F401
from bluebellthread.core import _spill_policies  # noqa: F401

__all__ = [
    'decode_policies',
    'prefill_policies',
    'queue_policies',
    'spill_policies',
]
